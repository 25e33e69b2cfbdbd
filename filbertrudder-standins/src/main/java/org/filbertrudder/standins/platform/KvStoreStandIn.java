package org.filbertrudder.standins.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.filbertrudder.model.Json;

/** Simulates the platform's metadata store over HTTP; runs on one event loop. */
public final class KvStoreStandIn {

    private static final int MAX_PAGE_ITEMS = 500;

    private final Vertx mVertx;
    private final String mHost;
    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final List<Event> mEventHistory = new ArrayList<>();
    private final List<Watch> mPendingWatches = new ArrayList<>();
    private long mRevision = 1;
    private long mNextLeaseId = 1;
    private long mHistoryStartRevision = 1;
    private volatile Mode mMode = Mode.SERVING;
    private HttpServer mServer;

    /** Creates a store that listens on the host once it is started. */
    public KvStoreStandIn(Vertx vertx, String host) {
        mVertx = vertx;
        mHost = host;
    }

    /** Lists how the store responds to calls. */
    public enum Mode {
        /** Executes all calls. */
        SERVING,
        /** Rejects all calls with status 503. */
        REJECTING,
        /** Accepts calls and never responds. */
        UNRESPONSIVE
    }

    /** Starts to listen and returns the bound port. */
    public int start() {
        mServer = mVertx.createHttpServer().requestHandler(this::handleRequest);
        mServer.listen(0, mHost).toCompletionStage().toCompletableFuture().join();
        return mServer.actualPort();
    }

    /** Sets how the store responds to calls. */
    public void setMode(Mode mode) {
        mMode = mode;
    }

    /** Writes a value, as an operator or a replica would. */
    public synchronized void put(String key, String value) {
        put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    /** Deletes a key, as an operator or a replica would. */
    public synchronized void delete(String key) {
        remove(key);
    }

    /** Returns the keys with a prefix, in ascending order. */
    public synchronized List<String> keys(String prefix) {
        return mItems.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    /** Discards the event history, so that watching clients must read all keys again. */
    public synchronized void compact() {
        mHistoryStartRevision = mRevision;
        mEventHistory.clear();
        mPendingWatches.forEach(watch -> watch.mRequest.response().setStatusCode(410).end());
        mPendingWatches.clear();
    }

    private void handleRequest(HttpServerRequest request) {
        if (mMode == Mode.UNRESPONSIVE) {
            return;
        }
        if (mMode == Mode.REJECTING) {
            request.response().setStatusCode(503).end();
            return;
        }
        request.body()
                .onSuccess(
                        body -> {
                            try {
                                dispatch(request, parse(body.toString()));
                            } catch (JsonProcessingException | NumberFormatException e) {
                                request.response().setStatusCode(400).end(e.getMessage());
                            }
                        });
    }

    private static JsonNode parse(String text) throws JsonProcessingException {
        return text.isEmpty() ? Json.MAPPER.createObjectNode() : Json.MAPPER.readTree(text);
    }

    private synchronized void dispatch(HttpServerRequest request, JsonNode body) {
        String path = request.path();
        if (path.equals("/kv-key")) {
            readKey(request);
        } else if (path.equals("/kv-range")) {
            readRange(request);
        } else if (path.equals("/kv-watch")) {
            watch(request);
        } else if (path.equals("/kv-txn")) {
            commit(request, body);
        } else if (path.equals("/kv-lease")) {
            grantLease(request, body.path("ttlMs").asLong());
        } else if (path.startsWith("/kv-keep/")) {
            renewLease(request, leaseId(path));
        } else if (path.startsWith("/kv-lease-end/") && request.method() == HttpMethod.DELETE) {
            endLease(leaseId(path));
            request.response().end();
        } else {
            request.response().setStatusCode(404).end();
        }
    }

    private static long leaseId(String path) {
        return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    }

    private static void respond(HttpServerRequest request, int status, JsonNode body) {
        request.response()
                .setStatusCode(status)
                .putHeader("content-type", "application/json")
                .end(body.toString());
    }

    private void readKey(HttpServerRequest request) {
        Item item = mItems.get(request.getParam("key"));
        ObjectNode body = item == null ? Json.MAPPER.createObjectNode() : item.toJson();
        respond(request, item == null ? 404 : 200, body.put("asOf", mRevision));
    }

    private void readRange(HttpServerRequest request) {
        String prefix = request.getParam("pathPrefix");
        String afterKey = request.getParam("after", "");
        List<Item> matching =
                mItems.values().stream()
                        .filter(item -> item.mKey.startsWith(prefix))
                        .filter(item -> item.mKey.compareTo(afterKey) > 0)
                        .toList();
        ObjectNode body = Json.MAPPER.createObjectNode();
        ArrayNode items = body.putArray("items");
        matching.stream().limit(MAX_PAGE_ITEMS).forEach(item -> items.add(item.toJson()));
        respond(
                request,
                200,
                body.put("morePages", matching.size() > MAX_PAGE_ITEMS).put("asOf", mRevision));
    }

    private void watch(HttpServerRequest request) {
        long afterRevision = Long.parseLong(request.getParam("after", "0"));
        if (afterRevision < mHistoryStartRevision - 1) {
            respond(request, 410, Json.MAPPER.createObjectNode());
            return;
        }
        Watch watch = new Watch(request, request.getParam("pathPrefix"), afterRevision);
        if (!respondToWatch(watch, false)) {
            mPendingWatches.add(watch);
            long waitMs = Math.max(1, Long.parseLong(request.getParam("waitMs", "1")));
            mVertx.setTimer(waitMs, timer -> endWatch(watch));
        }
    }

    private synchronized void endWatch(Watch watch) {
        if (mPendingWatches.remove(watch)) {
            respondToWatch(watch, true);
        }
    }

    private boolean respondToWatch(Watch watch, boolean respondIfEmpty) {
        ObjectNode body = Json.MAPPER.createObjectNode();
        ArrayNode events = body.putArray("events");
        mEventHistory.stream()
                .filter(event -> event.revision() > watch.mAfterRevision)
                .filter(event -> event.key().startsWith(watch.mPrefix))
                .forEach(event -> events.add(event.json()));
        if (events.isEmpty() && !respondIfEmpty) {
            return false;
        }
        respond(watch.mRequest, 200, body.put("asOf", mRevision));
        return true;
    }

    private void commit(HttpServerRequest request, JsonNode body) {
        boolean conditionsMet = true;
        ObjectNode current = Json.MAPPER.createObjectNode();
        ArrayNode items = current.putArray("items");
        for (JsonNode condition : body.path("expectRev")) {
            Item item = mItems.get(condition.path("key").asText());
            conditionsMet &= (item == null ? 0 : item.mRevision) == condition.path("rev").asLong();
            if (item != null) {
                items.add(item.toJson());
            }
        }
        if (!conditionsMet) {
            respond(request, 412, current);
            return;
        }
        for (JsonNode put : body.path("puts")) {
            String key = put.path("key").asText();
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                respond(request, 403, Json.MAPPER.createObjectNode());
                return;
            }
            if (put.path("lease").asLong(0) > 0
                    && !mLeases.containsKey(put.path("lease").asLong())) {
                respond(request, 404, Json.MAPPER.createObjectNode());
                return;
            }
        }
        body.path("puts")
                .forEach(
                        put ->
                                put(
                                        put.path("key").asText(),
                                        put.path("value").asText(),
                                        put.path("lease").asLong(0)));
        body.path("deletes").forEach(key -> remove(key.asText()));
        respond(request, 200, Json.MAPPER.createObjectNode().put("rev", mRevision));
    }

    private void put(String key, String base64, long leaseId) {
        mRevision++;
        Item previous = mItems.get(key);
        long createRevision = previous == null ? mRevision : previous.mCreateRevision;
        Item item = new Item(key, base64, mRevision, createRevision, leaseId);
        mItems.put(key, item);
        recordEvent(new Event(mRevision, key, item.toJson()));
    }

    private void remove(String key) {
        if (mItems.remove(key) != null) {
            mRevision++;
            ObjectNode json =
                    Json.MAPPER
                            .createObjectNode()
                            .put("key", key)
                            .put("rev", mRevision)
                            .put("removed", true);
            recordEvent(new Event(mRevision, key, json));
        }
    }

    private void recordEvent(Event event) {
        mEventHistory.add(event);
        mPendingWatches.removeIf(watch -> respondToWatch(watch, false));
    }

    private void grantLease(HttpServerRequest request, long ttlMs) {
        long id = mNextLeaseId++;
        mLeases.put(id, new Lease(ttlMs));
        restartLeaseTimer(id);
        respond(request, 200, Json.MAPPER.createObjectNode().put("lease", id).put("ttlMs", ttlMs));
    }

    private void renewLease(HttpServerRequest request, long id) {
        if (!mLeases.containsKey(id)) {
            respond(request, 404, Json.MAPPER.createObjectNode());
            return;
        }
        restartLeaseTimer(id);
        respond(request, 200, Json.MAPPER.createObjectNode().put("ttlMs", mLeases.get(id).mTtlMs));
    }

    private void restartLeaseTimer(long id) {
        Lease lease = mLeases.get(id);
        long renewal = ++lease.mRenewals;
        mVertx.setTimer(lease.mTtlMs, timer -> expireIfNotRenewed(id, renewal));
    }

    private synchronized void expireIfNotRenewed(long id, long renewal) {
        Lease lease = mLeases.get(id);
        if (lease != null && lease.mRenewals == renewal) {
            endLease(id);
        }
    }

    private void endLease(long id) {
        mLeases.remove(id);
        List<String> keys =
                mItems.values().stream()
                        .filter(item -> item.mLeaseId == id)
                        .map(item -> item.mKey)
                        .toList();
        keys.forEach(this::remove);
    }

    /** Holds a key with its value, revisions and lease. */
    private record Item(
            String mKey, String mValue, long mRevision, long mCreateRevision, long mLeaseId) {

        ObjectNode toJson() {
            return Json.MAPPER
                    .createObjectNode()
                    .put("key", mKey)
                    .put("value", mValue)
                    .put("rev", mRevision)
                    .put("created", mCreateRevision)
                    .put("lease", mLeaseId);
        }
    }

    private record Event(long revision, String key, ObjectNode json) {}

    /** Holds the duration of a lease and the number of its renewals. */
    private static final class Lease {

        private final long mTtlMs;
        private long mRenewals;

        Lease(long ttlMs) {
            mTtlMs = ttlMs;
        }
    }

    /** Holds a long-polling watch request without a response yet. */
    private static final class Watch {

        private final HttpServerRequest mRequest;
        private final String mPrefix;
        private final long mAfterRevision;

        Watch(HttpServerRequest request, String prefix, long afterRevision) {
            mRequest = request;
            mPrefix = prefix;
            mAfterRevision = afterRevision;
        }
    }
}
