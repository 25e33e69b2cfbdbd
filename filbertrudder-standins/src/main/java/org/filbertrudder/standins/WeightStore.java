package org.filbertrudder.standins;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;

/** Simulates the weight store, which limits the number of fetches per time window. */
final class WeightStore {

    private static final int FETCHES_PER_WINDOW = 4;
    private static final long WINDOW_MS = 1_000;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;

    private int mFetchesInWindow;
    private long mServedFetches;
    private long mRejectedFetches;

    WeightStore(Vertx vertx) {
        vertx.setPeriodic(WINDOW_MS, timer -> mFetchesInWindow = 0);
    }

    void fetch(RoutingContext context) {
        if (mFetchesInWindow < FETCHES_PER_WINDOW) {
            mFetchesInWindow++;
            mServedFetches++;
            context.response().end("weights");
        } else {
            mRejectedFetches++;
            context.response().setStatusCode(STATUS_TOO_MANY_REQUESTS).end();
        }
    }

    String stats() {
        return new JsonObject()
                .put("served", mServedFetches)
                .put("refused", mRejectedFetches)
                .toString();
    }
}
