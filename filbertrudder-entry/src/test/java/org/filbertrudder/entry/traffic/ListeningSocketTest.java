package org.filbertrudder.entry.traffic;

import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.impl.ConnectionBase;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what happens to connections that wait to be accepted when a server stops listening. */
public class ListeningSocketTest {

    private static final String HOST = "127.0.0.1";
    private static final int WAITING = 40;
    private static final int TIMEOUT_MS = 10_000;
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

    private final ListeningSocket mListeningSocket = new ListeningSocket();
    private final CompletableFuture<EventLoop> mAcceptor = new CompletableFuture<>();
    private Vertx mVertx;
    private Context mContext;
    private HttpServer mServer;

    @BeforeMethod
    public void startServer() {
        mVertx = Vertx.vertx();
        mContext = mVertx.getOrCreateContext();
        CompletableFuture<HttpServer> listening = new CompletableFuture<>();
        mContext.runOnContext(
                ignored ->
                        mVertx.createHttpServer()
                                .connectionHandler(
                                        connection -> {
                                            mListeningSocket.connectionOpened(connection);
                                            mAcceptor.complete(
                                                    ((ConnectionBase) connection)
                                                            .channel()
                                                            .parent()
                                                            .eventLoop());
                                        })
                                .requestHandler(request -> request.response().end("answer"))
                                .listen(0, HOST)
                                .onSuccess(listening::complete)
                                .onFailure(listening::completeExceptionally));
        mServer = listening.join();
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        await(mVertx.close());
    }

    private static void await(Future<?> future) {
        future.toCompletionStage().toCompletableFuture().join();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(HOST, mServer.actualPort());
        socket.setSoTimeout(TIMEOUT_MS);
        socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static String readToEnd(Socket socket) throws IOException {
        try (socket) {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    /** Guards against connections that are accepted while the server closes, and get no answer. */
    @Test
    public void connectionsThatWaitToBeAcceptedAreServed() throws Exception {
        readToEnd(connect());
        CountDownLatch heldUp = new CountDownLatch(1);
        mAcceptor
                .join()
                .execute(
                        () -> {
                            try {
                                heldUp.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        List<Socket> waiting = new ArrayList<>();
        for (int i = 0; i < WAITING; i++) {
            waiting.add(connect());
        }
        Future<Void> closed = mListeningSocket.close(mContext);
        heldUp.countDown();
        await(closed);

        for (Socket socket : waiting) {
            assertTrue(readToEnd(socket).startsWith("HTTP/1.1 200 OK"));
        }
        assertThrows(ConnectException.class, this::connect);
        await(mServer.close());
    }

    @Test
    public void closeOfASocketWithoutConnectionsCompletes() {
        Future<Void> closed = new ListeningSocket().close(mContext);

        await(closed);
        assertTrue(closed.succeeded());
    }
}
