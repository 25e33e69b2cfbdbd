package org.filbertrudder.standins;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;

/** Stands in for the weight store, which serves only a few fetches in a time. */
final class WeightStore {

    private static final int FETCHES_PER_WINDOW = 4;
    private static final long WINDOW_MS = 1_000;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;

    private int mInWindow;
    private long mServed;
    private long mRefused;

    WeightStore(Vertx vertx) {
        vertx.setPeriodic(WINDOW_MS, timer -> mInWindow = 0);
    }

    void fetch(RoutingContext context) {
        if (mInWindow < FETCHES_PER_WINDOW) {
            mInWindow++;
            mServed++;
            context.response().end("weights");
        } else {
            mRefused++;
            context.response().setStatusCode(STATUS_TOO_MANY_REQUESTS).end();
        }
    }

    String stats() {
        return new JsonObject().put("served", mServed).put("refused", mRefused).toString();
    }
}
