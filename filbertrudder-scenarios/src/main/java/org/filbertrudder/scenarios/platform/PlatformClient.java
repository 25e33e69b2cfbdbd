package org.filbertrudder.scenarios.platform;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.filbertrudder.policy.membership.PeerAddress;

/** Sends HTTP requests to an instance, with the headers that callers of the platform set. */
public final class PlatformClient {

    static {
        // The Host header selects the route, but the JDK client lets callers set it only with this
        // property.
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host,connection");
    }

    private static final Duration TIMEOUT = Duration.ofSeconds(15);
    private static final AtomicLong NEXT_ID = new AtomicLong();

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final PeerAddress mAddress;

    PlatformClient(PeerAddress address) {
        mAddress = address;
    }

    /**
     * Holds a response.
     *
     * @param status the HTTP status; 0 if the connection failed before the response was complete
     * @param body the body
     * @param retryAfter the value of the Retry-After header, if present
     * @param requestId the id of the request
     * @param serverStamp the value of the header with the server stamp of a replica, if present
     */
    public record Response(
            int status,
            String body,
            Optional<String> retryAfter,
            String requestId,
            Optional<String> serverStamp) {}

    /** Returns a unique request id. */
    public static String newRequestId() {
        return "t" + NEXT_ID.incrementAndGet();
    }

    /** Requests a page that the instance itself serves. */
    public Response get(String uri) {
        return send(HttpRequest.newBuilder(resolve(uri)).GET(), "");
    }

    /** Deletes what an instance itself keeps. */
    public Response delete(String uri) {
        return send(HttpRequest.newBuilder(resolve(uri)).DELETE(), "");
    }

    /** Sends a request that is not streamed; with a null key, it has no Authorization header. */
    public Response sendPlain(String method, String path, String apiKey) {
        return sendPlain(newRequestId(), method, path, apiKey);
    }

    /** Sends a request with the given id that is not streamed. */
    public Response sendPlain(String id, String method, String path, String apiKey) {
        return send(
                newRequest(id, path, apiKey)
                        .method(method, HttpRequest.BodyPublishers.ofString("body of " + id)),
                id);
    }

    /** Sends a request that is answered with a stream of events. */
    public Response sendStream(String path, String apiKey, String promptPrefix) {
        return sendStream(newRequestId(), path, apiKey, promptPrefix);
    }

    /** Sends a request with the given id that is answered with a stream of events. */
    public Response sendStream(String id, String path, String apiKey, String promptPrefix) {
        return send(
                newRequest(id, path, apiKey)
                        .header("Filbertrudder-Token-Usage", "600,80")
                        .header("Filbertrudder-Prompt-Prefix", promptPrefix + ":500," + id + ":100")
                        .header("Filbertrudder-Model", "m")
                        .POST(HttpRequest.BodyPublishers.ofString("prompt of " + id)),
                id);
    }

    /** Requests the rest of a stream after the event that the caller received last. */
    public Response resumeStream(String path, String apiKey, long lastEventId) {
        String id = newRequestId();
        return send(
                newRequest(id, path, apiKey)
                        .header("Filbertrudder-Token-Usage", "600,80")
                        .header("Last-Event-Id", Long.toString(lastEventId))
                        .POST(HttpRequest.BodyPublishers.ofString("prompt of " + id)),
                id);
    }

    private HttpRequest.Builder newRequest(String id, String path, String apiKey) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(resolve(path))
                        .header("Host", PlatformFleet.HOST)
                        .header("Filbertrudder-Attempt-Id", id)
                        .header("Filbertrudder-Deadline-Ms", "8000");
        if (apiKey != null) {
            request.header("Authorization", "Bearer " + apiKey);
        }
        return request;
    }

    private URI resolve(String path) {
        return URI.create("http://" + mAddress + path);
    }

    private Response send(HttpRequest.Builder request, String id) {
        try {
            HttpResponse<String> response =
                    mClient.send(
                            request.timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
            return new Response(
                    response.statusCode(),
                    response.body(),
                    response.headers().firstValue("retry-after"),
                    id,
                    response.headers().firstValue("filbertrudder-server-stamp"));
        } catch (IOException e) {
            return new Response(
                    0, String.valueOf(e.getMessage()), Optional.empty(), id, Optional.empty());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
