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

/** Stands in for a plain service that takes bookings and counts how often each one runs. */
public final class BookingStandIn {

    private final Vertx mVertx;
    private final Map<String, Integer> mRuns = new TreeMap<>();
    private int mRunning;
    private boolean mLeaving;
    private long mDelayMs;
    private String mBreakAt = "";
    private HttpServer mServer;
    private int mPort;

    /** Creates a service without bookings. */
    public BookingStandIn(Vertx vertx) {
        mVertx = vertx;
    }

    /** Starts to listen on loopback; returns the port. */
    public Future<Integer> listen(int port) {
        Router router = Router.router(mVertx);
        router.route().handler(BodyHandler.create(false));
        router.post("/bookings").handler(this::book);
        router.get("/racks/:id").handler(this::rack);
        router.get("/status").handler(context -> send(context, new JsonObject().put("up", true)));
        router.route("/echo").handler(this::echo);
        router.get("/load").handler(this::report);
        router.get("/standin/runs").handler(context -> send(context, runs()));
        router.post("/standin/behaviour").handler(this::behave);
        router.post("/standin/down").handler(this::goDown);
        mServer = mVertx.createHttpServer().requestHandler(router);
        return mServer.listen(port, "127.0.0.1")
                .map(
                        server -> {
                            mPort = server.actualPort();
                            return mPort;
                        });
    }

    /** Stops to listen for a while. */
    private void goDown(RoutingContext context) {
        long downMs = context.body().asJsonObject().getLong("forMs");
        HttpServer server = mServer;
        context.response()
                .end("{}")
                .onComplete(
                        ignored -> {
                            server.close();
                            mVertx.setTimer(downMs, timer -> listen(mPort));
                        });
    }

    private void book(RoutingContext context) {
        String slot = context.body().asJsonObject().getString("slot", "");
        if (mBreakAt.equals("before")) {
            context.request().connection().close();
            return;
        }
        mRuns.merge(slot, 1, Integer::sum);
        if (mBreakAt.equals("after")) {
            context.request().connection().close();
            return;
        }
        JsonObject answer = new JsonObject().put("slot", slot).put("booked", true);
        answer.put("run", mRuns.get(slot));
        mRunning++;
        mVertx.setTimer(
                Math.max(1, mDelayMs),
                timer -> {
                    mRunning--;
                    context.response().setStatusCode(201);
                    send(context, answer);
                });
    }

    private void rack(RoutingContext context) {
        send(context, new JsonObject().put("rack", context.pathParam("id")).put("free", 4));
    }

    private void echo(RoutingContext context) {
        context.response()
                .putHeader("content-type", "application/octet-stream")
                .putHeader("x-method", context.request().method().name())
                .end(context.body().buffer() == null ? "" : context.body().asString("ISO-8859-1"));
    }

    private void report(RoutingContext context) {
        send(context, new JsonObject().put("running", mRunning).put("leaving", mLeaving));
    }

    private JsonObject runs() {
        JsonObject runs = new JsonObject();
        mRuns.forEach(runs::put);
        return runs;
    }

    private void behave(RoutingContext context) {
        JsonObject body = context.body().asJsonObject();
        mDelayMs = body.getLong("delayMs", 0L);
        mBreakAt = body.getString("breakAt", "");
        mLeaving = body.getBoolean("leaving", false);
        send(context, new JsonObject());
    }

    private static void send(RoutingContext context, JsonObject json) {
        if (!context.response().closed()) {
            context.response().putHeader("content-type", "application/json").end(json.toString());
        }
    }
}
