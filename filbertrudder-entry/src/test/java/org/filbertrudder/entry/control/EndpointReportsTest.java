package org.filbertrudder.entry.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.filbertrudder.entry.TestEndpoints;
import org.filbertrudder.model.Endpoint;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the limits on the reports that endpoints send. */
public class EndpointReportsTest {

    private static final long TIMEOUT_MS = 900;

    /** What the limit on a report and the socket buffers on both sides hold. */
    private static final long MAX_SENT_BYTES = 16L * 1024 * 1024;

    private final AtomicLong mSentBytes = new AtomicLong();
    private Vertx mVertx;
    private NetServer mServer;
    private CompletableFuture<Void> mClosed;
    private volatile String mBeginning;
    private volatile Buffer mRepeated;

    @BeforeMethod
    public void start() {
        mVertx = Vertx.vertx();
        mClosed = new CompletableFuture<>();
        mSentBytes.set(0);
        mServer = mVertx.createNetServer().connectHandler(this::accept);
        mServer.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private void accept(NetSocket socket) {
        socket.exceptionHandler(ignored -> {});
        socket.closeHandler(ignored -> mClosed.complete(null));
        socket.handler(
                request -> {
                    socket.write(mBeginning);
                    sendEndlessly(socket);
                });
    }

    private void sendEndlessly(NetSocket socket) {
        if (mRepeated.length() > 0 && !mClosed.isDone()) {
            mSentBytes.addAndGet(mRepeated.length());
            socket.write(mRepeated)
                    .onSuccess(done -> mVertx.runOnContext(ignored -> sendEndlessly(socket)));
        }
    }

    private Buffer request() throws Exception {
        HttpClient client = mVertx.createHttpClient();
        Endpoint endpoint = TestEndpoints.onPort(mServer.actualPort());
        CompletableFuture<Buffer> report = new CompletableFuture<>();
        mVertx.runOnContext(
                ignored ->
                        new EndpointReports(mVertx, client, TIMEOUT_MS)
                                .request(endpoint, "/load")
                                .onSuccess(report::complete)
                                .onFailure(report::completeExceptionally));
        return report.get(10, TimeUnit.SECONDS);
    }

    /** Lists the beginning and the repeated part of reports that do not end. */
    @DataProvider
    public Object[][] endlessReports() {
        String chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        return new Object[][] {
            {chunked, "400\r\n" + "x".repeat(1024) + "\r\n"},
            {"HTTP/1.1 200 OK\r\n\r\n", "x".repeat(1024)},
            {"HTTP/1.1 500 Oh\r\nContent-Length: 4000000000\r\n\r\n", "x".repeat(1024)},
            {chunked, ""},
        };
    }

    /** Guards against an instance that runs out of memory as it keeps reports without end. */
    @Test(dataProvider = "endlessReports")
    public void endlessReportIsKeptInMemory(String beginning, String repeated) throws Exception {
        mBeginning = beginning;
        mRepeated = Buffer.buffer(repeated.repeat(64));

        expectThrows(ExecutionException.class, this::request);

        mClosed.get(10, TimeUnit.SECONDS);
        assertTrue(mSentBytes.get() < MAX_SENT_BYTES, "bytes sent: " + mSentBytes.get());
    }

    @Test
    public void wholeReportIsReturned() throws Exception {
        mBeginning = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        mRepeated = Buffer.buffer();

        assertEquals(request().toString(), "{}");
    }
}
