package org.filbertrudder.store;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.io.IOException;
import java.util.List;
import org.filbertrudder.model.Json;

/** Reads the platform's live list, and publishes instances in the caller directory. */
public final class PlatformDirectory {

    private static final int STATUS_OK = 200;
    private static final int MAX_SUCCESS_STATUS = 299;

    private final WebClient mClient;
    private final String mHost;
    private final int mPort;
    private final long mTimeoutMs;

    /**
     * Creates a client for the platform at the address; the timeout applies to connecting and to
     * each call, in milliseconds.
     */
    public PlatformDirectory(Vertx vertx, String host, int port, long timeoutMs) {
        mClient =
                WebClient.create(
                        io.vertx.mutiny.core.Vertx.newInstance(vertx),
                        new WebClientOptions().setConnectTimeout((int) timeoutMs));
        mHost = host;
        mPort = port;
        mTimeoutMs = timeoutMs;
    }

    /** Reads the live and leaving instances and endpoints. */
    public Uni<List<LiveListEntry>> readLiveList() {
        return mClient.get(mPort, mHost, "/v1/live")
                .timeout(mTimeoutMs)
                .send()
                .map(PlatformDirectory::parseLiveList);
    }

    private static List<LiveListEntry> parseLiveList(HttpResponse<Buffer> response) {
        if (response.statusCode() != STATUS_OK) {
            throw new IllegalStateException(
                    "The live list responded with HTTP status "
                            + response.statusCode()
                            + ", expected 200. Check the platform.");
        }
        try {
            return LiveListParser.parse(response.bodyAsString());
        } catch (IOException e) {
            throw new IllegalStateException(
                    "The live list cannot be parsed. Check the version of the platform.", e);
        }
    }

    /** Adds or replaces the entry of an instance in the caller directory. */
    public Uni<Void> publish(DirectoryEntry entry) {
        return mClient.put(mPort, mHost, "/v1/directory/" + entry.id())
                .timeout(mTimeoutMs)
                .sendBuffer(Buffer.buffer(Json.write(entry)))
                .map(PlatformDirectory::requireSuccess);
    }

    /** Removes the entry of an instance from the caller directory. */
    public Uni<Void> withdraw(String id) {
        return mClient.delete(mPort, mHost, "/v1/directory/" + id)
                .timeout(mTimeoutMs)
                .send()
                .map(PlatformDirectory::requireSuccess);
    }

    private static Void requireSuccess(HttpResponse<Buffer> response) {
        if (response.statusCode() > MAX_SUCCESS_STATUS) {
            throw new IllegalStateException(
                    "The caller directory responded with HTTP status "
                            + response.statusCode()
                            + ", expected 200 to 299. Check the platform.");
        }
        return null;
    }
}
