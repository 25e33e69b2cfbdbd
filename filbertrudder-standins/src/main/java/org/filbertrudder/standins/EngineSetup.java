package org.filbertrudder.standins;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Holds what an engine has loaded and carries orders out. */
final class EngineSetup {

    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_OK = 200;
    private static final long RETRY_WEIGHTS_MS = 200;

    private final Vertx mVertx;
    private final EngineOptions mOptions;
    private final HttpClient mClient;
    private final JsonArray mAccepted = new JsonArray();
    private final JsonArray mAway = new JsonArray();
    private JsonObject mLoaded;
    private long mSwitchedMs;
    private long mFence;
    private long mStaleAccepted;
    private long mRefused;
    private boolean mSwitching;
    private JsonObject mNext;

    EngineSetup(Vertx vertx, EngineOptions options) {
        mVertx = vertx;
        mOptions = options;
        mClient = vertx.createHttpClient();
        mLoaded =
                new JsonObject()
                        .put("version", options.version())
                        .put("adapters", new JsonArray())
                        .put("role", "BOTH");
    }

    /** Returns whether new requests are turned away because an order is being carried out. */
    boolean switching() {
        return mSwitching;
    }

    /** Takes an order; returns the HTTP status of the answer. */
    int order(JsonObject order) {
        long fence = order.getLong("fence", 0L);
        if (mOptions.fencing() && fence < mFence) {
            mRefused++;
            return STATUS_CONFLICT;
        }
        if (fence < mFence) {
            mStaleAccepted++;
        }
        mFence = Math.max(mFence, fence);
        JsonObject wanted = order.getJsonObject("setup");
        mAccepted.add(new JsonObject().put("fence", fence).put("setup", wanted));
        mNext = wanted;
        if (!mSwitching && !wanted.equals(mLoaded)) {
            mSwitching = true;
            mSwitchedMs = System.currentTimeMillis();
        }
        return STATUS_OK;
    }

    /** Starts to load once no request runs any more. */
    void idle() {
        if (mSwitching && mNext != null) {
            JsonObject wanted = mNext;
            mNext = null;
            boolean sameWeights = wanted.getString("version").equals(mLoaded.getString("version"));
            if (mOptions.weightsPort() == 0 || sameWeights) {
                load(wanted);
            } else {
                fetchWeights(wanted);
            }
        }
    }

    private void fetchWeights(JsonObject wanted) {
        mClient.request(HttpMethod.POST, mOptions.weightsPort(), "127.0.0.1", "/v1/weights/fetch")
                .compose(request -> request.send())
                .onComplete(
                        result -> {
                            if (result.succeeded() && result.result().statusCode() == STATUS_OK) {
                                load(wanted);
                            } else {
                                mVertx.setTimer(RETRY_WEIGHTS_MS, timer -> fetchWeights(wanted));
                            }
                        });
    }

    private void load(JsonObject wanted) {
        mVertx.setTimer(Math.max(1, mOptions.loadMs()), timer -> loaded(wanted));
    }

    private void loaded(JsonObject wanted) {
        mLoaded = wanted;
        mSwitching = mNext != null && !mNext.equals(mLoaded);
        if (mSwitching) {
            idle();
        } else {
            mNext = null;
            mAway.add(new JsonArray().add(mSwitchedMs).add(System.currentTimeMillis()));
        }
    }

    JsonObject report() {
        return new JsonObject()
                .put("loaded", mLoaded)
                .put("switching", mSwitching)
                .put("fence", mFence);
    }

    JsonObject stats() {
        return report().put("accepted", mAccepted)
                .put("staleAccepted", mStaleAccepted)
                .put("refused", mRefused);
    }
}
