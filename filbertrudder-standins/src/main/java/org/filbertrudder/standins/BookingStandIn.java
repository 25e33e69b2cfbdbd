package org.filbertrudder.standins;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.Map;
import java.util.TreeMap;

/** Simulates a plain service that accepts bookings and counts the executions of each booking. */
public final class BookingStandIn {

    private final Vertx mVertx;
    private final Map<String, Integer> mExecutionsBySlot = new TreeMap<>();
    private int mRunningRequests;
    private boolean mLeaving;
    private long mResponseDelayMs;
    private String mDisconnectAt = "";
    private HttpServer mServer;
    private int mPort;

    /** Creates a service that has executed no bookings. */
    public BookingStandIn(Vertx vertx) {
        mVertx = vertx;
    }

    /** Starts to listen on loopback and returns the bound port. */
    public Future<Integer> listen(int port) {
        Router router = Router.router(mVertx);
        router.route().handler(BodyHandler.create(false));
        router.post("/bookings").handler(this::book);
        router.get("/racks/:id").handler(this::describeRack);
        router.get("/status").handler(context -> send(context, new JsonObject().put("up", true)));
        router.route("/echo").handler(this::echo);
        router.get("/load").handler(this::reportLoad);
        router.get("/standin/runs").handler(context -> send(context, executionsBySlot()));
        router.post("/standin/behaviour").handler(this::setBehaviour);
        router.post("/standin/down").handler(this::closeTemporarily);
        mServer = mVertx.createHttpServer().requestHandler(router);
        return mServer.listen(port, "127.0.0.1")
                .map(
                        server -> {
                            mPort = server.actualPort();
                            return mPort;
                        });
    }

    /** Stops listening for the requested time, then listens on the same port again. */
    private void closeTemporarily(RoutingContext context) {
        long outageMs = context.body().asJsonObject().getLong("forMs");
        HttpServer server = mServer;
        context.response()
                .end("{}")
                .onComplete(
                        ignored -> {
                            server.close();
                            mVertx.setTimer(outageMs, timer -> listen(mPort));
                        });
    }

    private void book(RoutingContext context) {
        String slot = context.body().asJsonObject().getString("slot", "");
        if (mDisconnectAt.equals("before")) {
            context.request().connection().close();
            return;
        }
        mExecutionsBySlot.merge(slot, 1, Integer::sum);
        if (mDisconnectAt.equals("after")) {
            context.request().connection().close();
            return;
        }
        JsonObject confirmation = new JsonObject().put("slot", slot).put("booked", true);
        confirmation.put("run", mExecutionsBySlot.get(slot));
        mRunningRequests++;
        mVertx.setTimer(
                Math.max(1, mResponseDelayMs),
                timer -> {
                    mRunningRequests--;
                    context.response().setStatusCode(201);
                    send(context, confirmation);
                });
    }

    private void describeRack(RoutingContext context) {
        send(context, new JsonObject().put("rack", context.pathParam("id")).put("free", 4));
    }

    private void echo(RoutingContext context) {
        context.response()
                .putHeader("content-type", "application/octet-stream")
                .putHeader("x-method", context.request().method().name())
                .end(context.body().buffer() == null ? "" : context.body().asString("ISO-8859-1"));
    }

    private void reportLoad(RoutingContext context) {
        send(context, new JsonObject().put("running", mRunningRequests).put("leaving", mLeaving));
    }

    private JsonObject executionsBySlot() {
        JsonObject executionsBySlot = new JsonObject();
        mExecutionsBySlot.forEach(executionsBySlot::put);
        return executionsBySlot;
    }

    private void setBehaviour(RoutingContext context) {
        JsonObject body = context.body().asJsonObject();
        mResponseDelayMs = body.getLong("delayMs", 0L);
        mDisconnectAt = body.getString("breakAt", "");
        mLeaving = body.getBoolean("leaving", false);
        send(context, new JsonObject());
    }

    private static void send(RoutingContext context, JsonObject json) {
        if (!context.response().closed()) {
            context.response().putHeader("content-type", "application/json").end(json.toString());
        }
    }
}
