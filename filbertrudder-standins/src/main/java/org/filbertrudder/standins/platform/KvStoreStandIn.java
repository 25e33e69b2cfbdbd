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

/** Stands in for the platform's metadata store; runs on one event loop. */
public final class KvStoreStandIn {

    private static final int PAGE = 500;

    private final Vertx mVertx;
    private final String mHost;
    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final List<Event> mHistory = new ArrayList<>();
    private final List<Watch> mWatches = new ArrayList<>();
    private long mRevision = 1;
    private long mNextLease = 1;
    private long mHistoryStart = 1;
    private volatile Mode mMode = Mode.SERVING;
    private HttpServer mServer;

    /** Creates a store that listens on the host once it is started. */
    public KvStoreStandIn(Vertx vertx, String host) {
        mVertx = vertx;
        mHost = host;
    }

    /** Lists what the store does with calls. */
    public enum Mode {
        /** Serves all calls. */
        SERVING,
        /** Refuses all calls. */
        BUSY,
        /** Takes calls and never answers. */
        SILENT
    }

    /** Starts to listen; returns the port. */
    public int start() {
        mServer = mVertx.createHttpServer().requestHandler(this::serve);
        mServer.listen(0, mHost).toCompletionStage().toCompletableFuture().join();
        return mServer.actualPort();
    }

    /** Changes what the store does with calls. */
    public void setMode(Mode mode) {
        mMode = mode;
    }

    /** Writes a value as the operator or a replica. */
    public synchronized void put(String key, String value) {
        put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    /** Deletes a key as the operator or a replica. */
    public synchronized void delete(String key) {
        remove(key);
    }

    /** Returns the keys with a prefix. */
    public synchronized List<String> keys(String prefix) {
        return mItems.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    /** Drops the history, so that watches have to read everything again. */
    public synchronized void compact() {
        mHistoryStart = mRevision;
        mHistory.clear();
        mWatches.forEach(watch -> watch.mRequest.response().setStatusCode(410).end());
        mWatches.clear();
    }

    private void serve(HttpServerRequest request) {
        if (mMode == Mode.SILENT) {
            return;
        }
        if (mMode == Mode.BUSY) {
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
            read(request);
        } else if (path.equals("/kv-range")) {
            range(request);
        } else if (path.equals("/kv-watch")) {
            watch(request);
        } else if (path.equals("/kv-txn")) {
            transact(request, body);
        } else if (path.equals("/kv-lease")) {
            grant(request, body.path("ttlMs").asLong());
        } else if (path.startsWith("/kv-keep/")) {
            keep(request, leaseId(path));
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

    private static void answer(HttpServerRequest request, int status, JsonNode body) {
        request.response()
                .setStatusCode(status)
                .putHeader("content-type", "application/json")
                .end(body.toString());
    }

    private void read(HttpServerRequest request) {
        Item item = mItems.get(request.getParam("key"));
        ObjectNode body = item == null ? Json.MAPPER.createObjectNode() : item.toJson();
        answer(request, item == null ? 404 : 200, body.put("asOf", mRevision));
    }

    private void range(HttpServerRequest request) {
        String prefix = request.getParam("pathPrefix");
        String after = request.getParam("after", "");
        List<Item> found =
                mItems.values().stream()
                        .filter(item -> item.mKey.startsWith(prefix))
                        .filter(item -> item.mKey.compareTo(after) > 0)
                        .toList();
        ObjectNode body = Json.MAPPER.createObjectNode();
        ArrayNode items = body.putArray("items");
        found.stream().limit(PAGE).forEach(item -> items.add(item.toJson()));
        answer(request, 200, body.put("morePages", found.size() > PAGE).put("asOf", mRevision));
    }

    private void watch(HttpServerRequest request) {
        long after = Long.parseLong(request.getParam("after", "0"));
        if (after < mHistoryStart - 1) {
            answer(request, 410, Json.MAPPER.createObjectNode());
            return;
        }
        Watch watch = new Watch(request, request.getParam("pathPrefix"), after);
        if (!answerWatch(watch, false)) {
            mWatches.add(watch);
            long waitMs = Math.max(1, Long.parseLong(request.getParam("waitMs", "1")));
            mVertx.setTimer(waitMs, timer -> endWatch(watch));
        }
    }

    private synchronized void endWatch(Watch watch) {
        if (mWatches.remove(watch)) {
            answerWatch(watch, true);
        }
    }

    private boolean answerWatch(Watch watch, boolean evenIfEmpty) {
        ObjectNode body = Json.MAPPER.createObjectNode();
        ArrayNode events = body.putArray("events");
        mHistory.stream()
                .filter(event -> event.revision() > watch.mAfter)
                .filter(event -> event.key().startsWith(watch.mPrefix))
                .forEach(event -> events.add(event.json()));
        if (events.isEmpty() && !evenIfEmpty) {
            return false;
        }
        answer(watch.mRequest, 200, body.put("asOf", mRevision));
        return true;
    }

    private void transact(HttpServerRequest request, JsonNode body) {
        boolean holds = true;
        ObjectNode current = Json.MAPPER.createObjectNode();
        ArrayNode items = current.putArray("items");
        for (JsonNode condition : body.path("expectRev")) {
            Item item = mItems.get(condition.path("key").asText());
            holds &= (item == null ? 0 : item.mRevision) == condition.path("rev").asLong();
            if (item != null) {
                items.add(item.toJson());
            }
        }
        if (!holds) {
            answer(request, 412, current);
            return;
        }
        for (JsonNode each : body.path("puts")) {
            String key = each.path("key").asText();
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                answer(request, 403, Json.MAPPER.createObjectNode());
                return;
            }
            if (each.path("lease").asLong(0) > 0
                    && !mLeases.containsKey(each.path("lease").asLong())) {
                answer(request, 404, Json.MAPPER.createObjectNode());
                return;
            }
        }
        body.path("puts")
                .forEach(
                        each ->
                                put(
                                        each.path("key").asText(),
                                        each.path("value").asText(),
                                        each.path("lease").asLong(0)));
        body.path("deletes").forEach(each -> remove(each.asText()));
        answer(request, 200, Json.MAPPER.createObjectNode().put("rev", mRevision));
    }

    private void put(String key, String base64, long lease) {
        mRevision++;
        Item before = mItems.get(key);
        long created = before == null ? mRevision : before.mCreated;
        Item item = new Item(key, base64, mRevision, created, lease);
        mItems.put(key, item);
        note(new Event(mRevision, key, item.toJson()));
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
            note(new Event(mRevision, key, json));
        }
    }

    private void note(Event event) {
        mHistory.add(event);
        mWatches.removeIf(watch -> answerWatch(watch, false));
    }

    private void grant(HttpServerRequest request, long ttlMs) {
        long id = mNextLease++;
        mLeases.put(id, new Lease(ttlMs));
        extend(id);
        answer(request, 200, Json.MAPPER.createObjectNode().put("lease", id).put("ttlMs", ttlMs));
    }

    private void keep(HttpServerRequest request, long id) {
        if (!mLeases.containsKey(id)) {
            answer(request, 404, Json.MAPPER.createObjectNode());
            return;
        }
        extend(id);
        answer(request, 200, Json.MAPPER.createObjectNode().put("ttlMs", mLeases.get(id).mTtlMs));
    }

    private void extend(long id) {
        Lease lease = mLeases.get(id);
        long extension = ++lease.mExtensions;
        mVertx.setTimer(lease.mTtlMs, timer -> expire(id, extension));
    }

    private synchronized void expire(long id, long extension) {
        Lease lease = mLeases.get(id);
        if (lease != null && lease.mExtensions == extension) {
            endLease(id);
        }
    }

    private void endLease(long id) {
        mLeases.remove(id);
        List<String> keys =
                mItems.values().stream()
                        .filter(item -> item.mLease == id)
                        .map(item -> item.mKey)
                        .toList();
        keys.forEach(this::remove);
    }

    /** Holds one key with its value. */
    private record Item(String mKey, String mValue, long mRevision, long mCreated, long mLease) {

        ObjectNode toJson() {
            return Json.MAPPER
                    .createObjectNode()
                    .put("key", mKey)
                    .put("value", mValue)
                    .put("rev", mRevision)
                    .put("created", mCreated)
                    .put("lease", mLease);
        }
    }

    private record Event(long revision, String key, ObjectNode json) {}

    /** Holds the time of a lease. */
    private static final class Lease {

        private final long mTtlMs;
        private long mExtensions;

        Lease(long ttlMs) {
            mTtlMs = ttlMs;
        }
    }

    /** Holds a watch that waits. */
    private static final class Watch {

        private final HttpServerRequest mRequest;
        private final String mPrefix;
        private final long mAfter;

        Watch(HttpServerRequest request, String prefix, long after) {
            mRequest = request;
            mPrefix = prefix;
            mAfter = after;
        }
    }
}
