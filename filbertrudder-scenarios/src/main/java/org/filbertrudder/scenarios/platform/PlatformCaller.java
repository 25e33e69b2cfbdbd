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

/** Sends requests as callers of the platform do. */
public final class PlatformCaller {

    static {
        // The host names the route, so callers must be able to set it.
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host,connection");
    }

    private static final Duration TIMEOUT = Duration.ofSeconds(15);
    private static final AtomicLong NEXT_ID = new AtomicLong();

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final PeerAddress mAddress;

    PlatformCaller(PeerAddress address) {
        mAddress = address;
    }

    /**
     * Holds an answer.
     *
     * @param status the HTTP status; 0 if the connection broke before the answer was whole
     * @param body the body
     * @param retryAfter when to come back, if the answer tells
     * @param requestId the id of the request
     * @param signature the replica's signature, if there is one
     */
    public record Answer(
            int status,
            String body,
            Optional<String> retryAfter,
            String requestId,
            Optional<String> signature) {}

    /** Returns an id that no other request has. */
    public static String newRequestId() {
        return "t" + NEXT_ID.incrementAndGet();
    }

    /** Asks for a page of the instance itself. */
    public Answer get(String uri) {
        return send(HttpRequest.newBuilder(uri(uri)).GET(), "");
    }

    /** Sends a plain request; a null key sends none. */
    public Answer plain(String method, String path, String key) {
        String id = newRequestId();
        return send(
                request(id, path, key)
                        .method(method, HttpRequest.BodyPublishers.ofString("body of " + id)),
                id);
    }

    /** Sends a request for a stream of events. */
    public Answer stream(String path, String key, String subject) {
        String id = newRequestId();
        return send(
                request(id, path, key)
                        .header("Filbertrudder-Token-Usage", "600,80")
                        .header("Filbertrudder-Prompt-Prefix", subject + ":500," + id + ":100")
                        .header("Filbertrudder-Model", "m")
                        .POST(HttpRequest.BodyPublishers.ofString("prompt of " + id)),
                id);
    }

    private HttpRequest.Builder request(String id, String path, String key) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(uri(path))
                        .header("Host", PlatformFleet.HOST)
                        .header("Filbertrudder-Attempt-Id", id)
                        .header("Filbertrudder-Deadline-Ms", "8000");
        if (key != null) {
            request.header("Authorization", "Bearer " + key);
        }
        return request;
    }

    private URI uri(String path) {
        return URI.create("http://" + mAddress + path);
    }

    private Answer send(HttpRequest.Builder request, String id) {
        try {
            HttpResponse<String> response =
                    mClient.send(
                            request.timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(
                    response.statusCode(),
                    response.body(),
                    response.headers().firstValue("retry-after"),
                    id,
                    response.headers().firstValue("filbertrudder-server-stamp"));
        } catch (IOException e) {
            return new Answer(
                    0, String.valueOf(e.getMessage()), Optional.empty(), id, Optional.empty());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
