package org.filbertrudder.gateway.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.peer.forwarding.HeldBytes;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a request does not stay open when its connection has closed. */
public class OpenRequestsTest {

    private static final long TIMEOUT_SECONDS = 10;
    private static final String HALF =
            "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 8\r\n\r\nhalf";
    private static final String WHOLE = HALF + "half";

    private final BlockingQueue<HttpServerRequest> mArrived = new LinkedBlockingQueue<>();
    private final BlockingQueue<OpenRequests.OpenRequest> mOpened = new LinkedBlockingQueue<>();
    private final BlockingQueue<Optional<Context>> mClosed = new LinkedBlockingQueue<>();
    private Vertx mVertx;
    private Context mContext;
    private OpenRequests mOpenRequests;
    private HttpServer mServer;
    private boolean mAnswerAtHead;

    @BeforeMethod
    public void startServer() throws Exception {
        mArrived.clear();
        mOpened.clear();
        mClosed.clear();
        mAnswerAtHead = false;
        mVertx = Vertx.vertx();
        mContext = mVertx.getOrCreateContext();
        mOpenRequests = new OpenRequests(new HeldBytes(1_000));
        CompletableFuture<HttpServer> listening = new CompletableFuture<>();
        mContext.runOnContext(
                ignored ->
                        mVertx.createHttpServer()
                                .connectionHandler(mOpenRequests::connectionOpened)
                                .requestHandler(this::receive)
                                .listen(0, "127.0.0.1")
                                .onSuccess(listening::complete));
        mServer = listening.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @AfterMethod(alwaysRun = true)
    public void stopServer() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private void receive(HttpServerRequest request) {
        OpenRequests.OpenRequest open = mOpenRequests.open(request, Clocks.steadyMs());
        request.endHandler(ignored -> open.bodyRead());
        open.onClosed(() -> mClosed.add(Optional.ofNullable(Vertx.currentContext())));
        if (mAnswerAtHead) {
            open.flushing(request.response().end("x"));
        }
        mOpened.add(open);
        mArrived.add(request);
    }

    private <T> T take(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(next != null, "nothing arrived");
        return next;
    }

    private void onContext(Runnable action) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mContext.runOnContext(
                ignored -> {
                    action.run();
                    done.complete(null);
                });
        done.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private int openCount() throws Exception {
        int[] count = new int[1];
        onContext(() -> count[0] = mOpenRequests.size());
        return count[0];
    }

    /** Lists what a caller sends, and whether it resets the connection. */
    @DataProvider
    public Object[][] closedRequests() {
        return new Object[][] {
            {HALF, false},
            {HALF, true},
            {WHOLE, false},
            {WHOLE, true},
            {WHOLE + HALF, false},
            {WHOLE + HALF, true},
            {WHOLE + WHOLE, false},
            {WHOLE + WHOLE, true},
        };
    }

    private Socket connectAndSend(String bytes) throws Exception {
        Socket socket = new Socket("127.0.0.1", mServer.actualPort());
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static void close(Socket socket, boolean reset) throws Exception {
        if (reset) {
            socket.setSoLinger(true, 0);
        }
        socket.close();
    }

    @Test(dataProvider = "closedRequests")
    public void requestStaysOpenWhenItsConnectionClosesBeforeItsAnswer(String bytes, boolean reset)
            throws Exception {
        Socket socket = connectAndSend(bytes);
        HttpServerRequest request = take(mArrived);
        OpenRequests.OpenRequest open = take(mOpened);
        close(socket, reset);
        take(mClosed);

        assertEquals(openCount(), 0);
        onContext(() -> open.flushing(request.response().end("late")));
        assertEquals(openCount(), 0);
    }

    /** Timers set outside the context would run on another event loop. */
    @Test(dataProvider = "closedRequests")
    public void closedRequestIsEndedOutsideTheContextOfItsConnection(String bytes, boolean reset)
            throws Exception {
        Socket socket = connectAndSend(bytes);
        take(mArrived);
        close(socket, reset);

        assertTrue(take(mClosed).isPresent());
    }

    @Test(dataProvider = "closedRequests")
    public void requestStaysOpenWhenItsConnectionClosesAfterAnEarlyAnswer(
            String bytes, boolean reset) throws Exception {
        mAnswerAtHead = true;
        Socket socket = connectAndSend(bytes);
        take(mArrived);
        close(socket, reset);

        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (openCount() > 0 && System.nanoTime() < endNs) {
            Thread.onSpinWait();
        }
        assertEquals(openCount(), 0);
    }
}
