package org.filbertrudder.standins;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Executes load orders of a simulated engine and tracks the model that it has loaded. */
final class ModelLoader {

    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_OK = 200;
    private static final long FETCH_RETRY_DELAY_MS = 200;

    private final Vertx mVertx;
    private final EngineOptions mOptions;
    private final HttpClient mWeightsClient;
    private final JsonArray mAcceptedOrders = new JsonArray();
    private final JsonArray mSwitchPeriods = new JsonArray();
    private JsonObject mLoadedSetup;
    private long mSwitchStartMs;
    private long mHighestFencingToken;
    private long mStaleOrdersAccepted;
    private long mStaleOrdersRejected;
    private boolean mSwitching;
    private JsonObject mPendingSetup;

    ModelLoader(Vertx vertx, EngineOptions options) {
        mVertx = vertx;
        mOptions = options;
        mWeightsClient = vertx.createHttpClient();
        mLoadedSetup =
                new JsonObject()
                        .put("version", options.version())
                        .put("adapters", new JsonArray())
                        .put("role", "BOTH");
    }

    /** Returns whether new requests are rejected because a load order is in progress. */
    boolean switching() {
        return mSwitching;
    }

    /** Accepts or rejects a load order; returns the HTTP status of the response. */
    int accept(JsonObject order) {
        long fencingToken = order.getLong("fence", 0L);
        if (mOptions.fencing() && fencingToken < mHighestFencingToken) {
            mStaleOrdersRejected++;
            return STATUS_CONFLICT;
        }
        if (fencingToken < mHighestFencingToken) {
            mStaleOrdersAccepted++;
        }
        mHighestFencingToken = Math.max(mHighestFencingToken, fencingToken);
        JsonObject requestedSetup = order.getJsonObject("setup");
        mAcceptedOrders.add(
                new JsonObject().put("fence", fencingToken).put("setup", requestedSetup));
        mPendingSetup = requestedSetup;
        if (!mSwitching && !requestedSetup.equals(mLoadedSetup)) {
            mSwitching = true;
            mSwitchStartMs = System.currentTimeMillis();
        }
        return STATUS_OK;
    }

    /** Starts a pending load; call this only when no request is running. */
    void startPendingLoad() {
        if (mSwitching && mPendingSetup != null) {
            JsonObject requestedSetup = mPendingSetup;
            mPendingSetup = null;
            boolean sameWeights =
                    requestedSetup.getString("version").equals(mLoadedSetup.getString("version"));
            if (mOptions.weightsPort() == 0 || sameWeights) {
                load(requestedSetup);
            } else {
                fetchWeights(requestedSetup);
            }
        }
    }

    private void fetchWeights(JsonObject requestedSetup) {
        mWeightsClient
                .request(HttpMethod.POST, mOptions.weightsPort(), "127.0.0.1", "/v1/weights/fetch")
                .compose(request -> request.send())
                .onComplete(
                        result -> {
                            if (result.succeeded() && result.result().statusCode() == STATUS_OK) {
                                load(requestedSetup);
                            } else {
                                mVertx.setTimer(
                                        FETCH_RETRY_DELAY_MS,
                                        timer -> fetchWeights(requestedSetup));
                            }
                        });
    }

    private void load(JsonObject requestedSetup) {
        mVertx.setTimer(Math.max(1, mOptions.loadMs()), timer -> onLoaded(requestedSetup));
    }

    private void onLoaded(JsonObject requestedSetup) {
        mLoadedSetup = requestedSetup;
        mSwitching = mPendingSetup != null && !mPendingSetup.equals(mLoadedSetup);
        if (mSwitching) {
            startPendingLoad();
        } else {
            mPendingSetup = null;
            mSwitchPeriods.add(new JsonArray().add(mSwitchStartMs).add(System.currentTimeMillis()));
        }
    }

    JsonObject report() {
        return new JsonObject()
                .put("loaded", mLoadedSetup)
                .put("switching", mSwitching)
                .put("fence", mHighestFencingToken);
    }

    JsonObject stats() {
        return report().put("accepted", mAcceptedOrders)
                .put("staleAccepted", mStaleOrdersAccepted)
                .put("refused", mStaleOrdersRejected);
    }
}
