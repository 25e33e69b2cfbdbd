package org.filbertrudder.standins.platform;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.filbertrudder.model.Json;

/**
 * Stands in for a replica of the platform: registers itself, runs requests, and fails as told.
 *
 * <p>Requests with a token count are answered by a stream of events, all others by a short body.
 */
public final class ReplicaStandIn {

    private static final int EVENTS = 8;
    private static final long EVENT_GAP_MS = 10;
    private static final long WORK_MS = 20;
    private static final int STATUS_MISDIRECTED = 421;
    private static final long DRIP_GAP_MS = 100;

    /** The pause that a replica asks for, in seconds. */
    public static final int PAUSE_S = 3;

    private final Vertx mVertx;
    private final KvStoreStandIn mStore;
    private final String mId;
    private final String mService;
    private final String mZone;
    private final String mHost;
    private final int mSlots;
    private final AtomicInteger mRunning = new AtomicInteger();
    private final AtomicInteger mTurnedAway = new AtomicInteger();
    private final Queue<Run> mRuns = new ConcurrentLinkedQueue<>();
    private final Map<String, Integer> mRunsById = new ConcurrentHashMap<>();
    private volatile Fault mFault = Fault.NONE;
    private volatile int mPort;
    private HttpServer mServer;
    private long mSequence;

    /** Creates a replica that registers in the store once it is started. */
    public ReplicaStandIn(
            Vertx vertx,
            KvStoreStandIn store,
            String id,
            String service,
            String zone,
            String host,
            int slots) {
        mVertx = vertx;
        mStore = store;
        mId = id;
        mService = service;
        mZone = zone;
        mHost = host;
        mSlots = slots;
    }

    /** Lists how a replica fails. */
    public enum Fault {
        /** It does not. */
        NONE,
        /** Streams break in the middle of an event, other answers before their first byte. */
        BREAK,
        /** Requests run and fail. */
        ERROR,
        /** Requests run and are never answered. */
        HANG,
        /** Streams stop in the middle without an end, other requests are never answered. */
        MUTE,
        /** Requests are turned away unrun. */
        FULL,
        /** Answers have no signature. */
        UNSIGNED,
        /** Requests run, and each answer says that the replica leaves. */
        LEAVING,
        /** Requests are turned away unrun with a pause to be kept. */
        PAUSING,
        /** Streams send single bytes of an event that never ends; other answers likewise. */
        DRIP
    }

    /**
     * Describes a run as the replica saw it.
     *
     * @param requestId the caller's id
     * @param account the account that was named
     * @param authorization the authorization header, if it was passed on
     * @param uri the path and query
     * @param body the body
     * @param lastEventId where the stream went on
     */
    public record Run(
            String requestId,
            String account,
            String authorization,
            String uri,
            String body,
            String lastEventId) {}

    /** Starts to listen and registers. */
    public ReplicaStandIn start() {
        mServer = mVertx.createHttpServer().requestHandler(this::serve);
        mServer.listen(0, mHost).toCompletionStage().toCompletableFuture().join();
        mPort = mServer.actualPort();
        register("ready", 0);
        return this;
    }

    /** Registers a state and how long the replica stays cold, in milliseconds. */
    public void register(String state, long warmupMs) {
        register(state, warmupMs, 1);
    }

    /** Registers a state, with the time of the replica's start in milliseconds. */
    public void register(String state, long warmupMs, long startedMs) {
        mStore.put(
                "servers/" + mId,
                Json.MAPPER
                        .createObjectNode()
                        .put("born", startedMs)
                        .put("service", mService)
                        .put("addr", mHost + ":" + mPort)
                        .put("zone", mZone)
                        .put("version", "v1")
                        .put("slots", mSlots)
                        .put("state", state)
                        .put("warmupMs", warmupMs)
                        .put("seq", ++mSequence)
                        .toString());
    }

    /** Ends the replica without a word, as a crash does. */
    public void crash() {
        mServer.close().toCompletionStage().toCompletableFuture().join();
        mStore.delete("servers/" + mId);
    }

    /** Changes how the replica fails. */
    public void setFault(Fault fault) {
        mFault = fault;
    }

    /** Returns everything that the replica has begun to run. */
    public Queue<Run> runs() {
        return mRuns;
    }

    /** Returns how often a request was run here. */
    public int runsOf(String requestId) {
        return mRunsById.getOrDefault(requestId, 0);
    }

    /** Returns how many requests were turned away with a pause. */
    public int turnedAway() {
        return mTurnedAway.get();
    }

    /** Returns the number of requests that run now. */
    public int running() {
        return mRunning.get();
    }

    private void serve(HttpServerRequest request) {
        if (request.path().equals("/healthz")) {
            request.response().putHeader("Filbertrudder-Instance-Id", mId).end();
            return;
        }
        request.body().onSuccess(body -> serve(request, body.toString()));
    }

    private void serve(HttpServerRequest request, String body) {
        String requestId = request.getHeader("Filbertrudder-Attempt-Id");
        HttpServerResponse response = request.response();
        response.putHeader("Filbertrudder-Server-Load", mRunning + ",0," + mSlots);
        if (requestId != null) {
            response.putHeader("Filbertrudder-Attempt-Id", requestId);
        }
        if (!mId.equals(request.getHeader("Filbertrudder-Expect-Instance"))) {
            response.setStatusCode(STATUS_MISDIRECTED).end();
            return;
        }
        if (mFault == Fault.PAUSING) {
            mTurnedAway.incrementAndGet();
            response.putHeader("Retry-After", Integer.toString(PAUSE_S));
        }
        if (mFault == Fault.LEAVING) {
            response.putHeader("Server-Leaving", "1");
        }
        if (mFault == Fault.FULL || mFault == Fault.PAUSING || mRunning.get() >= mSlots) {
            response.setStatusCode(503).putHeader("Filbertrudder-Not-Executed", "1").end();
            return;
        }
        begin(request, requestId, body);
        run(request, response);
    }

    private void begin(HttpServerRequest request, String requestId, String body) {
        mRunning.incrementAndGet();
        AtomicBoolean ended = new AtomicBoolean();
        Handler<Void> end =
                ignored -> {
                    if (ended.compareAndSet(false, true)) {
                        mRunning.decrementAndGet();
                    }
                };
        request.response().endHandler(end);
        request.response().closeHandler(end);
        mRunsById.merge(requestId, 1, Integer::sum);
        mRuns.add(
                new Run(
                        requestId,
                        request.getHeader("Filbertrudder-Tenant"),
                        request.getHeader("Authorization"),
                        request.uri(),
                        body,
                        request.getHeader("Last-Event-Id")));
    }

    private void run(HttpServerRequest request, HttpServerResponse response) {
        if (mFault != Fault.UNSIGNED) {
            response.putHeader("Filbertrudder-Server-Stamp", mId + ".stamp");
        }
        boolean stream = request.getHeader("Filbertrudder-Token-Usage") != null;
        switch (mFault) {
            case HANG -> {}
            case DRIP -> drip(response);
            case MUTE -> {
                if (stream) {
                    stream(request, response, Cut.SILENCE);
                }
            }
            case ERROR -> mVertx.setTimer(WORK_MS, t -> response.setStatusCode(500).end("error"));
            case BREAK -> {
                if (stream) {
                    stream(request, response, Cut.RESET);
                } else {
                    mVertx.setTimer(WORK_MS, t -> request.connection().close());
                }
            }
            default -> {
                if (stream) {
                    stream(request, response, Cut.NONE);
                } else {
                    answer(request, response);
                }
            }
        }
    }

    private void answer(HttpServerRequest request, HttpServerResponse response) {
        String body = "{\"by\":\"" + mId + "\",\"uri\":\"" + request.uri() + "\"}";
        mVertx.setTimer(WORK_MS, timer -> response.end(body));
    }

    private void drip(HttpServerResponse response) {
        response.putHeader("content-type", "text/event-stream").setChunked(true);
        response.write("id: 1\ndata: ");
        mVertx.setPeriodic(
                DRIP_GAP_MS,
                timer -> {
                    if (response.closed()) {
                        mVertx.cancelTimer(timer);
                    } else {
                        response.write("x");
                    }
                });
    }

    /** Lists how a stream ends early. */
    private enum Cut {
        NONE,
        RESET,
        SILENCE
    }

    private void stream(HttpServerRequest request, HttpServerResponse response, Cut cut) {
        String last = request.getHeader("Last-Event-Id");
        int[] next = {last == null ? 1 : Integer.parseInt(last) + 1};
        int breakAt = next[0] + 2;
        response.putHeader("content-type", "text/event-stream").setChunked(true);
        mVertx.setPeriodic(
                EVENT_GAP_MS,
                timer -> {
                    if (response.closed()) {
                        mVertx.cancelTimer(timer);
                    } else if (next[0] > EVENTS) {
                        mVertx.cancelTimer(timer);
                        response.end();
                    } else if (cut == Cut.SILENCE && next[0] == breakAt) {
                        mVertx.cancelTimer(timer);
                    } else if (cut == Cut.RESET && next[0] == breakAt) {
                        mVertx.cancelTimer(timer);
                        response.write("id: " + next[0] + "\nda")
                                .onComplete(done -> request.connection().close());
                    } else {
                        response.write("id: " + next[0] + "\ndata: piece " + next[0] + "\n\n");
                        next[0]++;
                    }
                });
    }
}
