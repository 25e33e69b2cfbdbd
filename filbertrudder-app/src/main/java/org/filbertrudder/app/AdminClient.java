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

/** Blocking client of the administration API of an instance. */
final class AdminClient implements AutoCloseable {

    private static final long RESPONSE_TIMEOUT_MS = 20_000;
    private static final int MAX_SUCCESS_STATUS = 299;

    private final Vertx mVertx = Vertx.vertx();
    private final WebClient mClient = WebClient.create(mVertx);
    private final URI mBaseUrl;
    private final String mToken;

    AdminClient(URI baseUrl, String token) {
        mBaseUrl = baseUrl;
        mToken = token;
    }

    Response get(String path) throws IOException {
        return send("GET", path, "", null);
    }

    Response getAbsolute(String url) throws IOException {
        return send(mClient.getAbs(url), "");
    }

    Response send(String method, String path, String body, String ifRevision) throws IOException {
        HttpRequest<Buffer> request =
                mClient.requestAbs(HttpMethod.valueOf(method), mBaseUrl + "/admin/v1" + path)
                        .putHeader("authorization", "Bearer " + mToken);
        if (ifRevision != null) {
            request.putHeader("if-match", ifRevision);
        }
        return send(request, body);
    }

    private static Response send(HttpRequest<Buffer> request, String body) throws IOException {
        try {
            HttpResponse<Buffer> response =
                    request.timeout(RESPONSE_TIMEOUT_MS)
                            .sendBuffer(Buffer.buffer(body))
                            .toCompletionStage()
                            .toCompletableFuture()
                            .join();
            String bodyText = response.bodyAsString();
            return new Response(
                    response.statusCode() <= MAX_SUCCESS_STATUS, bodyText == null ? "" : bodyText);
        } catch (CompletionException e) {
            throw new IOException(
                    "The instance did not respond (" + e.getCause().getMessage() + ").", e);
        }
    }

    @Override
    public void close() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /**
     * Holds a response of the administration API.
     *
     * @param successful whether the status is a success
     * @param body the response body
     */
    record Response(boolean successful, String body) {}
}
