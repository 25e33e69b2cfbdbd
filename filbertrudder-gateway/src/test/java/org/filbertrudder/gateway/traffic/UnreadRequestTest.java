package org.filbertrudder.gateway.traffic;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.peer.forwarding.HeldBytes;
import org.filbertrudder.policy.connections.ReadingLimits;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests connections on which a request has arrived that a held-up process has not read yet. */
public class UnreadRequestTest {

    private static final int TIMEOUT_MS = 10_000;
    private static final int IDLE_MS = 100;
    private static final String REQUEST = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx";

    private Vertx mVertx;
    private Context mContext;
    private OpenRequests mOpenRequests;
    private HttpServer mServer;

    @BeforeMethod
    public void startServer() throws Exception {
        mVertx = Vertx.vertx();
        mContext = mVertx.getOrCreateContext();
        mOpenRequests = new OpenRequests(new HeldBytes(1_000));
        CompletableFuture<HttpServer> listening = new CompletableFuture<>();
        mContext.runOnContext(
                ignored ->
                        mVertx.createHttpServer()
                                .connectionHandler(mOpenRequests::connectionOpened)
                                .requestHandler(this::answer)
                                .listen(0, "127.0.0.1")
                                .onSuccess(listening::complete));
        mServer = listening.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @AfterMethod(alwaysRun = true)
    public void stopServer() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private void answer(HttpServerRequest request) {
        OpenRequests.OpenRequest open = mOpenRequests.open(request, Clocks.steadyMs());
        request.endHandler(ignored -> open.bodyRead());
        open.flushing(request.response().end("x"));
    }

    @Test
    public void shorterIdleLimitClosesAConnectionWithAnUnreadRequest() throws Exception {
        try (Socket caller = new Socket("127.0.0.1", mServer.actualPort())) {
            caller.setSoTimeout(TIMEOUT_MS);
            send(caller);
            assertEquals(read(caller), RESPONSE);
            CompletableFuture<Void> swept = new CompletableFuture<>();
            mContext.runOnContext(
                    ignored -> {
                        // The event loop does not read while this action holds it up.
                        send(caller);
                        awaitUnreadBytes(caller);
                        mOpenRequests.closeIdleLongerThan(-1, OpenRequests.CloseCause.IDLE_LIMIT);
                        swept.complete(null);
                    });
            swept.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);

            assertEquals(read(caller), RESPONSE);
        }
    }

    @Test
    public void lateHeadIsRefusedWhoseRestHasNotBeenRead() throws Exception {
        try (Socket caller = new Socket("127.0.0.1", mServer.actualPort())) {
            caller.setSoTimeout(TIMEOUT_MS);
            send(caller);
            assertEquals(read(caller), RESPONSE);
            // The rest must not wait for the acknowledgement of the first bytes.
            caller.setTcpNoDelay(true);
            send(caller, REQUEST.substring(0, 10));
            CompletableFuture<Void> swept = new CompletableFuture<>();
            mContext.runOnContext(
                    ignored -> {
                        send(caller, REQUEST.substring(10));
                        awaitUnreadBytes(caller);
                        mOpenRequests.endLate(
                                new ReadingLimits(-1, -1), GatewayRefusal.requestTooSlow());
                        swept.complete(null);
                    });
            swept.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);

            assertEquals(read(caller), RESPONSE);
        }
    }

    @Test
    public void idleConnectionIsKept() throws Exception {
        try (Socket caller = new Socket("127.0.0.1", mServer.actualPort())) {
            caller.setSoTimeout(TIMEOUT_MS);
            send(caller);
            assertEquals(read(caller), RESPONSE);
            mContext.runOnContext(
                    ignored ->
                            mOpenRequests.closeIdleLongerThan(
                                    -1, OpenRequests.CloseCause.IDLE_LIMIT));

            assertEquals(read(caller), "");
        }
    }

    /** A shorter limit holds for a connection from the end of its next request on. */
    @Test
    public void requestWithinTheFormerIdleLimitMeetsAClosedConnection() throws Exception {
        try (Socket caller = new Socket("127.0.0.1", mServer.actualPort())) {
            caller.setSoTimeout(TIMEOUT_MS);
            closeIdle(TIMEOUT_MS);
            send(caller);
            assertEquals(read(caller), RESPONSE);
            TimeUnit.MILLISECONDS.sleep(IDLE_MS);
            closeIdle(1);
            send(caller);

            assertEquals(read(caller), RESPONSE);

            TimeUnit.MILLISECONDS.sleep(IDLE_MS);
            closeIdle(1);
            assertEquals(read(caller), "");
        }
    }

    private void closeIdle(long limitMs) throws Exception {
        CompletableFuture<Void> swept = new CompletableFuture<>();
        mContext.runOnContext(
                ignored -> {
                    mOpenRequests.endLate(
                            new ReadingLimits(TIMEOUT_MS, limitMs),
                            GatewayRefusal.requestTooSlow());
                    swept.complete(null);
                });
        swept.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private static void send(Socket caller) {
        send(caller, REQUEST);
    }

    private static void send(Socket caller, String bytes) {
        try {
            caller.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Returns one response, or less if the connection closes. */
    private static String read(Socket caller) throws IOException {
        byte[] received = caller.getInputStream().readNBytes(RESPONSE.length());
        return new String(received, StandardCharsets.US_ASCII);
    }

    /** Waits until the system holds received bytes of the connection for the server. */
    private static void awaitUnreadBytes(Socket caller) {
        Pattern pattern =
                Pattern.compile(
                        ":%04X [0-9A-F]*:%04X 01 [0-9A-F]{8}:(?!00000000)"
                                .formatted(caller.getPort(), caller.getLocalPort()));
        long deadlineMs = Clocks.steadyMs() + TIMEOUT_MS;
        while (Clocks.steadyMs() < deadlineMs) {
            for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
                if (pattern.matcher(text(table)).find()) {
                    return;
                }
            }
        }
        throw new AssertionError("The request does not arrive.");
    }

    private static String text(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
