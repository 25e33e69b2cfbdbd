package org.filbertrudder.scenarios;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Sends HTTP requests to processes on loopback. */
public final class HttpCaller implements AutoCloseable {

    private static final long TIMEOUT_MS = 60_000;
    private static final int MAX_CONNECTIONS = 12_000;

    private final Vertx mVertx = Vertx.vertx();
    private final WebClient mClient =
            WebClient.create(mVertx, new WebClientOptions().setMaxPoolSize(MAX_CONNECTIONS));

    /** Sends a request and waits for the whole answer. */
    public Reply send(
            String method, int port, String uri, Map<String, String> headers, String body) {
        return sendLater(method, port, uri, headers, body).join();
    }

    /** Sends a request; a broken connection is reported as status 0. */
    public CompletableFuture<Reply> sendLater(
            String method, int port, String uri, Map<String, String> headers, String body) {
        HttpRequest<Buffer> request =
                mClient.request(HttpMethod.valueOf(method), port, "127.0.0.1", uri)
                        .timeout(TIMEOUT_MS);
        headers.forEach(request::putHeader);
        return (body == null ? request.send() : request.sendBuffer(Buffer.buffer(body)))
                .map(HttpCaller::reply)
                .otherwise(failure -> new Reply(0, Map.of(), String.valueOf(failure.getMessage())))
                .toCompletionStage()
                .toCompletableFuture();
    }

    private static Reply reply(HttpResponse<Buffer> response) {
        Map<String, String> headers = new LinkedHashMap<>();
        response.headers()
                .forEach((name, value) -> headers.put(name.toLowerCase(Locale.ROOT), value));
        String body = response.bodyAsString();
        return new Reply(response.statusCode(), headers, body == null ? "" : body);
    }

    /** Returns the event loops that the requests run on. */
    public Vertx vertx() {
        return mVertx;
    }

    @Override
    public void close() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
