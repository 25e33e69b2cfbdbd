package org.filbertrudder.app;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.io.IOException;
import java.net.URI;
import java.util.concurrent.CompletionException;

/** Calls the administration API and waits for the answer. */
final class AdminClient implements AutoCloseable {

    private static final long TIMEOUT_MS = 20_000;
    private static final int MAX_SUCCESS_STATUS = 299;

    private final Vertx mVertx = Vertx.vertx();
    private final WebClient mClient = WebClient.create(mVertx);
    private final URI mBase;
    private final String mToken;

    AdminClient(URI base, String token) {
        mBase = base;
        mToken = token;
    }

    Answer get(String path) throws IOException {
        return send("GET", path, "", null);
    }

    Answer getAbsolute(String url) throws IOException {
        return send(mClient.getAbs(url), "");
    }

    Answer send(String method, String path, String body, String ifRevision) throws IOException {
        HttpRequest<Buffer> request =
                mClient.requestAbs(HttpMethod.valueOf(method), mBase + "/admin/v1" + path)
                        .putHeader("authorization", "Bearer " + mToken);
        if (ifRevision != null) {
            request.putHeader("if-match", ifRevision);
        }
        return send(request, body);
    }

    private static Answer send(HttpRequest<Buffer> request, String body) throws IOException {
        try {
            HttpResponse<Buffer> response =
                    request.timeout(TIMEOUT_MS)
                            .sendBuffer(Buffer.buffer(body))
                            .toCompletionStage()
                            .toCompletableFuture()
                            .join();
            String text = response.bodyAsString();
            return new Answer(
                    response.statusCode() <= MAX_SUCCESS_STATUS, text == null ? "" : text);
        } catch (CompletionException e) {
            throw new IOException(
                    "The instance gave no answer (" + e.getCause().getMessage() + ").", e);
        }
    }

    @Override
    public void close() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /**
     * Holds an answer.
     *
     * @param accepted whether the request succeeded
     * @param body the answer's body
     */
    record Answer(boolean accepted, String body) {}
}
