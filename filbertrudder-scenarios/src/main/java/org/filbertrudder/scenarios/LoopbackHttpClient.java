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

/** Sends HTTP requests to processes on the loopback interface. */
public final class LoopbackHttpClient implements AutoCloseable {

    private static final long TIMEOUT_MS = 60_000;
    private static final int MAX_CONNECTIONS = 12_000;

    private final Vertx mVertx = Vertx.vertx();
    private final WebClient mClient =
            WebClient.create(mVertx, new WebClientOptions().setMaxPoolSize(MAX_CONNECTIONS));

    /** Sends a request and waits for the complete response. */
    public Reply send(
            String method, int port, String uri, Map<String, String> headers, String body) {
        return sendAsync(method, port, uri, headers, body).join();
    }

    /** Sends a request; a connection failure completes with status 0 and the cause as the body. */
    public CompletableFuture<Reply> sendAsync(
            String method, int port, String uri, Map<String, String> headers, String body) {
        HttpRequest<Buffer> request =
                mClient.request(HttpMethod.valueOf(method), port, "127.0.0.1", uri)
                        .timeout(TIMEOUT_MS);
        headers.forEach(request::putHeader);
        return (body == null ? request.send() : request.sendBuffer(Buffer.buffer(body)))
                .map(LoopbackHttpClient::toReply)
                .otherwise(failure -> new Reply(0, Map.of(), String.valueOf(failure.getMessage())))
                .toCompletionStage()
                .toCompletableFuture();
    }

    private static Reply toReply(HttpResponse<Buffer> response) {
        Map<String, String> headers = new LinkedHashMap<>();
        response.headers()
                .forEach((name, value) -> headers.put(name.toLowerCase(Locale.ROOT), value));
        String body = response.bodyAsString();
        return new Reply(response.statusCode(), headers, body == null ? "" : body);
    }

    /** Returns the Vert.x instance that runs the requests. */
    public Vertx vertx() {
        return mVertx;
    }

    @Override
    public void close() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
