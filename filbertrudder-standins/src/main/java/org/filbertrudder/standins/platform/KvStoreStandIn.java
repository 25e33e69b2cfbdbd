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

/**
 * Simulates the platform's metadata store over HTTP; runs on one event loop.
 *
 * <p>The store can return from a copy. All that was written since the copy is lost, with its
 * leases; revisions and leases are issued again, and the era rises by one. Operators and replicas
 * write again what they had written when {@link #writeAgain} is called.
 */
public final class KvStoreStandIn {

    private static final int MAX_PAGE_ITEMS = 500;
    private static final String ERA_HEADER = "Store-Era";

    private final Vertx mVertx;
    private final String mHost;
    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final List<Event> mEventHistory = new ArrayList<>();
    private final List<Watch> mPendingWatches = new ArrayList<>();

    /** What operators and replicas have written last, by key; encoded as Base64. */
    private final TreeMap<String, String> mExternalValues = new TreeMap<>();

    private final List<ScheduledValue> mScheduledValues = new ArrayList<>();

    private long mRevision = 1;
    private long mNextLeaseId = 1;
    private long mHistoryStartRevision = 1;
    private volatile long mEra = 1;
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
        String base64 = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        mExternalValues.put(key, base64);
        put(key, base64, 0);
    }

    /**
     * Writes a value at a time of {@link ArrivalLog#nowMs()}, as a replica would. Each call of the
     * store that is handled later sees the value, even if the timers of a busy machine are late.
     */
    public synchronized void putAt(long atMs, String key, String value) {
        mScheduledValues.add(new ScheduledValue(atMs, key, value));
        mVertx.setTimer(Math.max(1, atMs - ArrivalLog.nowMs()), ignored -> writeScheduled());
    }

    private synchronized void writeScheduled() {
        long nowMs = ArrivalLog.nowMs();
        List<ScheduledValue> due =
                mScheduledValues.stream().filter(value -> value.mAtMs <= nowMs).toList();
        mScheduledValues.removeAll(due);
        due.forEach(value -> put(value.mKey, value.mValue));
    }

    /** Deletes a key, as an operator or a replica would. */
    public synchronized void delete(String key) {
        mExternalValues.remove(key);
        remove(key);
    }

    /** Returns a copy of the store from which it can be restored later. */
    public synchronized Copy copy() {
        return new Copy(this);
    }

    /**
     * Replaces the content of the store by a copy and begins a new era. Pending watches end with
     * status 410, and the leases of the copy start to run.
     */
    public synchronized void restore(Copy copy) {
        mItems.clear();
        mItems.putAll(copy.mItems);
        mLeases.clear();
        copy.mLeaseTtlsMs.forEach(
                (id, ttlMs) -> {
                    mLeases.put(id, new Lease(ttlMs));
                    restartLeaseTimer(id);
                });
        mEventHistory.clear();
        mEventHistory.addAll(copy.mEventHistory);
        mRevision = copy.mRevision;
        mNextLeaseId = copy.mNextLeaseId;
        mEra++;
        endPendingWatches();
    }

    /** Writes again what operators and replicas had written or deleted and the copy lacks. */
    public synchronized void writeAgain() {
        List<String> deleted =
                mItems.keySet().stream()
                        .filter(key -> key.startsWith("op/") || key.startsWith("servers/"))
                        .filter(key -> !mExternalValues.containsKey(key))
                        .toList();
        deleted.forEach(this::remove);
        mExternalValues.forEach(
                (key, value) -> {
                    Item item = mItems.get(key);
                    if (item == null || !item.mValue.equals(value)) {
                        put(key, value, 0);
                    }
                });
    }

    /** Returns the number of watches without a response yet. */
    public synchronized int pendingWatches() {
        return mPendingWatches.size();
    }

    /** Returns the keys with a prefix, in ascending order. */
    public synchronized List<String> keys(String prefix) {
        return mItems.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    /** Discards the event history, so that watching clients must read all keys again. */
    public synchronized void compact() {
        mHistoryStartRevision = mRevision;
        mEventHistory.clear();
        endPendingWatches();
    }

    private void endPendingWatches() {
        mPendingWatches.forEach(watch -> endWithStatus(watch.mRequest, 410));
        mPendingWatches.clear();
    }

    /** Ends a request with a status; the era is the one in which the request is executed. */
    private void endWithStatus(HttpServerRequest request, int status) {
        request.response().putHeader(ERA_HEADER, Long.toString(mEra)).setStatusCode(status).end();
    }

    private void handleRequest(HttpServerRequest request) {
        if (mMode == Mode.UNRESPONSIVE) {
            return;
        }
        if (mMode == Mode.REJECTING) {
            endWithStatus(request, 503);
            return;
        }
        request.body()
                .onSuccess(
                        body -> {
                            try {
                                dispatch(request, parse(body.toString()));
                            } catch (JsonProcessingException | NumberFormatException e) {
                                endWithStatus(request, 400);
                            }
                        });
    }

    private static JsonNode parse(String text) throws JsonProcessingException {
        return text.isEmpty() ? Json.MAPPER.createObjectNode() : Json.MAPPER.readTree(text);
    }

    private synchronized void dispatch(HttpServerRequest request, JsonNode body) {
        writeScheduled();
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
            endWithStatus(request, 200);
        } else {
            endWithStatus(request, 404);
        }
    }

    private static long leaseId(String path) {
        return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    }

    private void respond(HttpServerRequest request, int status, JsonNode body) {
        request.response()
                .setStatusCode(status)
                .putHeader(ERA_HEADER, Long.toString(mEra))
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
        if (afterRevision < mHistoryStartRevision - 1 || afterRevision > mRevision) {
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

    /** Grants a lease and writes a key under it, as another user of the store would. */
    public synchronized void putWithLease(String key, long ttlMs) {
        put(key, "", grantLease(ttlMs));
    }

    private long grantLease(long ttlMs) {
        long id = mNextLeaseId++;
        mLeases.put(id, new Lease(ttlMs));
        restartLeaseTimer(id);
        return id;
    }

    private void grantLease(HttpServerRequest request, long ttlMs) {
        long id = grantLease(ttlMs);
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
        mVertx.setTimer(lease.mTtlMs, timer -> expireIfNotRenewed(id, lease, renewal));
    }

    private synchronized void expireIfNotRenewed(long id, Lease lease, long renewal) {
        if (mLeases.get(id) == lease && lease.mRenewals == renewal) {
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

    /** Holds the content of the store at one moment. */
    public static final class Copy {

        private final TreeMap<String, Item> mItems;
        private final Map<Long, Long> mLeaseTtlsMs;
        private final List<Event> mEventHistory;
        private final long mRevision;
        private final long mNextLeaseId;

        private Copy(KvStoreStandIn store) {
            mItems = new TreeMap<>(store.mItems);
            mLeaseTtlsMs = new HashMap<>();
            store.mLeases.forEach((id, lease) -> mLeaseTtlsMs.put(id, lease.mTtlMs));
            mEventHistory = List.copyOf(store.mEventHistory);
            mRevision = store.mRevision;
            mNextLeaseId = store.mNextLeaseId;
        }
    }

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

    /** A value that is written at a time. */
    private record ScheduledValue(long mAtMs, String mKey, String mValue) {}
}
