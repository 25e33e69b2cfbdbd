package org.filbertrudder.standins;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Simulates the platform's store, live list, caller directory and weight store over HTTP. */
public final class PlatformStandIn {

    private static final long MAX_BODY_BYTES = 4L * 1024 * 1024;

    /** The length of a value of 1 MiB in base64. */
    private static final long MAX_BASE64_CHARACTERS = 1024L * 1024 * 4 / 3;

    private final Vertx mVertx;
    private final long mLiveLagMs;
    private final StoreData mStoreData = new StoreData();
    private final StoreFaults mFaults = new StoreFaults();
    private final List<Watch> mWatches = new ArrayList<>();
    private final Map<String, JsonObject> mLiveEntries = new LinkedHashMap<>();
    private final Map<String, JsonObject> mDirectory = new LinkedHashMap<>();
    private final Map<String, String> mLeaseByKey = new LinkedHashMap<>();
    private final Map<String, Long> mTtlMsByLease = new LinkedHashMap<>();
    private final Map<String, Long> mTimerByLease = new LinkedHashMap<>();
    private final WeightStore mWeightStore;
    private final CallsPerSecond mCallsPerSecond = new CallsPerSecond();
    private long mNextLeaseId = 1;
    private JsonArray mVisibleLiveList = new JsonArray();
    private long mReads;
    private long mWrites;
    private long mWatchesOpened;

    /** Creates a platform whose live list shows changes after a delay in milliseconds. */
    public PlatformStandIn(Vertx vertx, long liveLagMs) {
        mVertx = vertx;
        mLiveLagMs = liveLagMs;
        mWeightStore = new WeightStore(vertx);
    }

    /** Starts to listen on loopback and returns the bound port. */
    public Future<Integer> listen(int port) {
        Router router = Router.router(mVertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        router.post("/v3/kv/range").handler(context -> serveUnlessFaulty(context, this::range));
        router.post("/v3/kv/txn").handler(context -> serveUnlessFaulty(context, this::commit));
        router.post("/v3/lease/grant")
                .handler(context -> serveUnlessFaulty(context, this::grantLease));
        router.post("/v3/lease/keepalive")
                .handler(context -> serveUnlessFaulty(context, this::renewLease));
        router.post("/v3/lease/revoke")
                .handler(context -> serveUnlessFaulty(context, this::revokeLease));
        router.post("/v1/weights/fetch").handler(mWeightStore::fetch);
        router.get("/standin/weights").handler(context -> send(context, mWeightStore.stats()));
        router.post("/v3/watch").handler(this::watch);
        router.get("/v1/live").handler(context -> send(context, mVisibleLiveList.toString()));
        router.put("/v1/directory/:id").handler(this::putDirectoryEntry);
        router.delete("/v1/directory/:id").handler(this::removeDirectoryEntry);
        router.get("/v1/directory").handler(context -> send(context, directory().toString()));
        router.post("/standin/faults").handler(this::setFaults);
        router.post("/standin/save").handler(context -> runAndConfirm(context, mStoreData::save));
        router.post("/standin/restore")
                .handler(context -> runAndConfirm(context, mStoreData::restore));
        router.get("/standin/calls").handler(context -> send(context, callCounts().toString()));
        router.put("/standin/live/:id").handler(this::putLiveEntry);
        router.delete("/standin/live/:id").handler(this::removeLiveEntry);
        return mVertx.createHttpServer()
                .requestHandler(router)
                .listen(port, "127.0.0.1")
                .map(HttpServer::actualPort);
    }

    private static void runAndConfirm(RoutingContext context, Runnable action) {
        action.run();
        send(context, "{}");
    }

    private void serveUnlessFaulty(RoutingContext context, Consumer<RoutingContext> call) {
        mCallsPerSecond.count();
        if (mFaults.mode() == StoreFaults.Mode.OUT) {
            context.request().connection().close();
        } else if (mFaults.mode() == StoreFaults.Mode.UP && mFaults.delayMs() > 0) {
            mVertx.setTimer(mFaults.delayMs(), timer -> call.accept(context));
        } else if (mFaults.mode() == StoreFaults.Mode.UP) {
            call.accept(context);
        }
    }

    private void range(RoutingContext context) {
        mReads++;
        JsonObject body = context.body().asJsonObject();
        String rangeEnd = body.getString("range_end");
        send(
                context,
                new JsonObject().put("kvs", readRange(body.getString("key"), rangeEnd)).toString());
    }

    private JsonArray readRange(String key, String rangeEnd) {
        JsonArray items = new JsonArray();
        mStoreData
                .range(decode(key), rangeEnd == null ? null : decode(rangeEnd))
                .forEach(item -> items.add(itemJson(item)));
        return items;
    }

    private static JsonObject itemJson(StoreData.Item item) {
        return new JsonObject()
                .put("key", encode(item.key()))
                .put("value", item.value())
                .put("create_revision", Long.toString(item.createRevision()))
                .put("mod_revision", Long.toString(item.modRevision()));
    }

    private void commit(RoutingContext context) {
        mWrites++;
        JsonObject body = context.body().asJsonObject();
        boolean succeeded = allMatch(body.getJsonArray("compare", new JsonArray()));
        JsonArray responses = new JsonArray();
        if (succeeded) {
            applyOperations(body.getJsonArray("success", new JsonArray()));
        } else {
            for (Object each : body.getJsonArray("failure", new JsonArray())) {
                JsonObject range = ((JsonObject) each).getJsonObject("request_range");
                JsonArray items = readRange(range.getString("key"), null);
                responses.add(
                        new JsonObject().put("response_range", new JsonObject().put("kvs", items)));
            }
        }
        if (mFaults.shouldDropResponse()) {
            context.request().connection().close();
            return;
        }
        send(
                context,
                new JsonObject()
                        .put("succeeded", succeeded)
                        .put("responses", responses)
                        .toString());
    }

    private boolean allMatch(JsonArray comparisons) {
        for (Object each : comparisons) {
            JsonObject comparison = (JsonObject) each;
            long expected = Long.parseLong(comparison.getString("mod_revision", "0"));
            if (mStoreData.modRevision(decode(comparison.getString("key"))) != expected) {
                return false;
            }
        }
        return true;
    }

    private void applyOperations(JsonArray operations) {
        mStoreData.startWrite();
        for (Object each : operations) {
            JsonObject operation = (JsonObject) each;
            JsonObject put = operation.getJsonObject("request_put");
            JsonObject delete = operation.getJsonObject("request_delete_range");
            if (put != null && put.getString("value", "").length() <= MAX_BASE64_CHARACTERS) {
                notifyWatches(mStoreData.put(decode(put.getString("key")), put.getString("value")));
                attachToLease(decode(put.getString("key")), put.getString("lease", "0"));
            } else if (delete != null) {
                mStoreData.delete(decode(delete.getString("key")));
            }
        }
    }

    private void grantLease(RoutingContext context) {
        mWrites++;
        long ttlMs = 1_000 * Long.parseLong(context.body().asJsonObject().getString("TTL"));
        String id = Long.toString(mNextLeaseId++);
        mTtlMsByLease.put(id, ttlMs);
        restartLeaseTimer(id);
        send(context, new JsonObject().put("ID", id).put("TTL", ttlSeconds(id)).toString());
    }

    private void restartLeaseTimer(String id) {
        Long timer = mTimerByLease.remove(id);
        if (timer != null) {
            mVertx.cancelTimer(timer);
        }
        mTimerByLease.put(id, mVertx.setTimer(mTtlMsByLease.get(id), ended -> endLease(id)));
    }

    private String ttlSeconds(String id) {
        return Long.toString(mTtlMsByLease.get(id) / 1_000);
    }

    /** Renews a lease; as in etcd, the response for an expired lease contains no TTL. */
    private void renewLease(RoutingContext context) {
        mWrites++;
        String id = context.body().asJsonObject().getString("ID");
        JsonObject result = new JsonObject().put("ID", id);
        if (mTtlMsByLease.containsKey(id)) {
            restartLeaseTimer(id);
            result.put("TTL", ttlSeconds(id));
        }
        send(context, new JsonObject().put("result", result).toString());
    }

    private void revokeLease(RoutingContext context) {
        mWrites++;
        endLease(context.body().asJsonObject().getString("ID"));
        send(context, "{}");
    }

    private void attachToLease(String key, String leaseId) {
        if (leaseId.equals("0")) {
            mLeaseByKey.remove(key);
        } else {
            mLeaseByKey.put(key, leaseId);
        }
    }

    private void endLease(String id) {
        mLeaseByKey.entrySet().stream()
                .filter(entry -> entry.getValue().equals(id))
                .forEach(entry -> mStoreData.delete(entry.getKey()));
        mLeaseByKey.values().removeIf(id::equals);
        mTtlMsByLease.remove(id);
        Long timer = mTimerByLease.remove(id);
        if (timer != null) {
            mVertx.cancelTimer(timer);
        }
    }

    private void notifyWatches(StoreData.Item item) {
        JsonObject event = new JsonObject().put("type", "PUT").put("kv", itemJson(item));
        JsonObject result = new JsonObject().put("events", new JsonArray().add(event));
        String line = new JsonObject().put("result", result).toString();
        for (Watch watch : List.copyOf(mWatches)) {
            if (watch.matches(item.key())) {
                watch.response().write(line + "\n");
            }
        }
    }

    private void watch(RoutingContext context) {
        mCallsPerSecond.count();
        if (mFaults.mode() != StoreFaults.Mode.UP) {
            context.request().connection().close();
            return;
        }
        mWatchesOpened++;
        JsonObject request = context.body().asJsonObject().getJsonObject("create_request");
        HttpServerResponse response = context.response().setChunked(true);
        Watch watch =
                new Watch(
                        decode(request.getString("key")),
                        decode(request.getString("range_end")),
                        response);
        mWatches.add(watch);
        response.closeHandler(ignored -> mWatches.remove(watch));
        response.write(
                new JsonObject().put("result", new JsonObject().put("created", true)) + "\n");
    }

    private void setFaults(RoutingContext context) {
        JsonObject body = context.body().asJsonObject();
        mFaults.set(
                StoreFaults.Mode.valueOf(body.getString("mode", "UP")),
                body.getLong("delayMs", 0L),
                body.getInteger("loseAnswers", 0));
        if (mFaults.mode() != StoreFaults.Mode.UP) {
            List.copyOf(mWatches).forEach(watch -> watch.response().reset());
            mWatches.clear();
        }
        send(context, "{}");
    }

    private JsonObject callCounts() {
        return new JsonObject()
                .put("reads", mReads)
                .put("writes", mWrites)
                .put("watches", mWatchesOpened)
                .put("watching", mWatches.size())
                .put("keys", mStoreData.size())
                .put("leasedKeys", mLeaseByKey.size())
                .put("perSecond", mCallsPerSecond.toJson())
                .put("revision", mStoreData.revision());
    }

    private void putLiveEntry(RoutingContext context) {
        mLiveEntries.put(context.pathParam("id"), context.body().asJsonObject());
        showLiveListAfterLag();
        send(context, "{}");
    }

    private void removeLiveEntry(RoutingContext context) {
        mLiveEntries.remove(context.pathParam("id"));
        showLiveListAfterLag();
        send(context, "{}");
    }

    private void showLiveListAfterLag() {
        JsonArray liveList = new JsonArray(new ArrayList<>(mLiveEntries.values()));
        mVertx.setTimer(Math.max(1, mLiveLagMs), timer -> mVisibleLiveList = liveList);
    }

    private void putDirectoryEntry(RoutingContext context) {
        mDirectory.put(context.pathParam("id"), context.body().asJsonObject());
        send(context, "{}");
    }

    private void removeDirectoryEntry(RoutingContext context) {
        mDirectory.remove(context.pathParam("id"));
        send(context, "{}");
    }

    private JsonArray directory() {
        return new JsonArray(new ArrayList<>(mDirectory.values()));
    }

    private static void send(RoutingContext context, String json) {
        if (!context.response().closed()) {
            context.response().putHeader("content-type", "application/json").end(json);
        }
    }

    private static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.ISO_8859_1);
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private record Watch(String rangeStart, String rangeEnd, HttpServerResponse response) {

        boolean matches(String key) {
            return key.compareTo(rangeStart) >= 0 && key.compareTo(rangeEnd) < 0;
        }
    }
}
