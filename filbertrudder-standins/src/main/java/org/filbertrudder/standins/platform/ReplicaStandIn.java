package org.filbertrudder.standins.platform;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.filbertrudder.model.Json;

/**
 * Simulates a replica of the platform that registers itself, executes requests and injects faults.
 *
 * <p>Responds with an event stream to requests that carry a token usage header, and with a short
 * body to all others.
 */
public final class ReplicaStandIn {

    private static final int MAX_HEAD_BYTES = 64 * 1024;
    private static final int EVENTS_PER_STREAM = 8;
    private static final long EVENT_INTERVAL_MS = 10;
    private static final long PROCESSING_TIME_MS = 20;
    private static final int STATUS_MISDIRECTED = 421;
    private static final long BYTE_INTERVAL_MS = 100;

    /** The Retry-After delay of {@link Fault#REJECT_WITH_RETRY_AFTER}, in seconds. */
    public static final int RETRY_AFTER_S = 3;

    /** The delay of responses of {@link Fault#LATE_RESPONSE}, in milliseconds. */
    private static final long LATE_RESPONSE_MS = 1_800;

    /** How long a replica is down after a request has crashed it, in milliseconds. */
    public static final long CRASH_DOWN_MS = 600;

    private final Vertx mVertx;
    private final KvStoreStandIn mStore;
    private final String mId;
    private final String mService;
    private final String mZone;
    private final String mHost;
    private final int mSlots;
    private final AtomicInteger mRunning = new AtomicInteger();
    private final AtomicInteger mPeakRunning = new AtomicInteger();
    private final AtomicInteger mRejectedWithRetryAfter = new AtomicInteger();
    private final ArrivalLog mArrivals = new ArrivalLog();
    private final ArrivalLog mLimitStatements = new ArrivalLog();
    private final Queue<ExecutedRequest> mExecutedRequests = new ConcurrentLinkedQueue<>();
    private final Map<String, Integer> mExecutionsByRequestId = new ConcurrentHashMap<>();
    private final ArrivalLog mCrashes = new ArrivalLog();
    private final Set<String> mCrashingParts = ConcurrentHashMap.newKeySet();
    private volatile Fault mFault = Fault.NONE;
    private volatile String mLimit;
    private volatile int mPacePercent;
    private volatile boolean mAcceptsAboveSlots;
    private volatile long mEventIntervalMs = EVENT_INTERVAL_MS;
    private volatile int mPort;
    private volatile boolean mDown;
    private volatile int mStarts;
    private HttpServer mServer;
    private long mRegistrationSequence;

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

    /** Lists the faults that a replica can inject. */
    public enum Fault {
        /** No fault. */
        NONE,
        /**
         * The connection closes in the middle of a streamed event, or before the first byte of
         * another response.
         */
        CLOSE_CONNECTION,
        /** Requests are executed and fail with status 500. */
        ERROR,
        /** Requests are executed and never get a response. */
        NO_RESPONSE,
        /** Streams stop between two events but stay open; other requests never get a response. */
        STALL,
        /** Requests are executed, and their responses begin late. */
        LATE_RESPONSE,
        /** Requests are rejected with status 503 without execution. */
        REJECT,
        /** Responses have no server stamp. */
        NO_SERVER_STAMP,
        /** Requests are executed, and each response announces that the replica is leaving. */
        LEAVING,
        /** Requests are rejected with status 503 and a Retry-After delay, without execution. */
        REJECT_WITH_RETRY_AFTER,
        /** All responses are streams that send single bytes of an event that never ends. */
        SINGLE_BYTES
    }

    /**
     * Records an executed request as the replica received it.
     *
     * @param requestId the attempt id of the request
     * @param account the client account named in the request
     * @param authorization the authorization header, or null if it was not forwarded
     * @param uri the path and query
     * @param body the request body
     * @param lastEventId the id of the last event that the caller received; null for a stream from
     *     the start
     */
    public record ExecutedRequest(
            String requestId,
            String account,
            String authorization,
            String uri,
            String body,
            String lastEventId) {}

    /** Starts to listen on any port and registers the replica as ready. */
    public ReplicaStandIn start() {
        return start(0);
    }

    /**
     * Starts to listen and registers the replica as ready.
     *
     * @param port outside the range of outgoing connections if the replica is to return, as one of
     *     them may occupy its port meanwhile; 0 for any
     */
    public ReplicaStandIn start(int port) {
        listen(port).toCompletionStage().toCompletableFuture().join();
        mPort = mServer.actualPort();
        mDown = false;
        mStarts++;
        register("ready", 0);
        return this;
    }

    /** Registers a state and the warm-up time of the replica, in milliseconds. */
    public void register(String state, long warmupMs) {
        register(state, warmupMs, 1);
    }

    /** Registers a state, the warm-up time and the start time of the replica, in milliseconds. */
    public void register(String state, long warmupMs, long startedMs) {
        mStore.put(registrationKey(), registration(state, warmupMs, startedMs));
    }

    /** Registers like the other methods, but at a time of {@link ArrivalLog#nowMs()}. */
    public void registerAt(long atMs, String state, long warmupMs, long startedMs) {
        mStore.putAt(atMs, registrationKey(), registration(state, warmupMs, startedMs));
    }

    private String registrationKey() {
        return "servers/" + mId;
    }

    private String registration(String state, long warmupMs, long startedMs) {
        return Json.MAPPER
                .createObjectNode()
                .put("born", startedMs)
                .put("service", mService)
                .put("addr", mHost + ":" + mPort)
                .put("zone", mZone)
                .put("version", "v1")
                .put("slots", mSlots)
                .put("state", state)
                .put("warmupMs", warmupMs)
                .put("seq", ++mRegistrationSequence)
                .toString();
    }

    /** Stops listening without announcing it and deletes the registration, as after a crash. */
    public void crash() {
        mServer.close().toCompletionStage().toCompletableFuture().join();
        mStore.delete("servers/" + mId);
    }

    /** Closes all connections and refuses new ones; the registration remains. */
    public void refuseConnections() {
        mStarts++;
        mServer.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Listens again on the same port, as a process that has just started; does not register. */
    public void acceptConnections() {
        listen(mPort).toCompletionStage().toCompletableFuture().join();
        mDown = false;
    }

    private Future<HttpServer> listen(int port) {
        // Endpoints accept every head that the gateway accepts from a caller.
        HttpServerOptions options = new HttpServerOptions().setMaxHeaderSize(MAX_HEAD_BYTES);
        mServer = mVertx.createHttpServer(options).requestHandler(this::serve);
        return mServer.listen(port, mHost);
    }

    /** Sets the fault to inject. */
    public void setFault(Fault fault) {
        mFault = fault;
    }

    /** Sets the value of the Server-Limit header of all responses; null for no such header. */
    public void setLimit(String limit) {
        mLimit = limit;
    }

    /** Sets the pace of the machine that all responses state, in percent; 0 for none. */
    public void setPacePercent(int pacePercent) {
        mPacePercent = pacePercent;
    }

    /** Sets the time between two events of the streams that start from now on. */
    public void setEventIntervalMs(long eventIntervalMs) {
        mEventIntervalMs = eventIntervalMs;
    }

    /** Lets the replica execute requests above its slots, so that their number can be measured. */
    public void acceptAboveSlots() {
        mAcceptsAboveSlots = true;
    }

    /** Returns the maximum number of requests that ran at a time since the last call. */
    public int takePeakRunning() {
        return mPeakRunning.getAndSet(mRunning.get());
    }

    /**
     * Sets the prompt parts that crash the replica when it begins to answer a request with one of
     * them; it is back {@link #CRASH_DOWN_MS} later. The last part of a prompt never does.
     */
    public void setCrashingParts(Set<String> parts) {
        mCrashingParts.retainAll(parts);
        mCrashingParts.addAll(parts);
    }

    /** Returns when the replica crashed, each time with the id of the request that caused it. */
    public ArrivalLog crashes() {
        return mCrashes;
    }

    /** Returns the requests whose responses stated a limit, with the time of the response head. */
    public ArrivalLog limitStatements() {
        return mLimitStatements;
    }

    /** Returns the arrivals of all requests, whether executed or not. */
    public ArrivalLog arrivals() {
        return mArrivals;
    }

    /** Returns all requests whose execution has started. */
    public Queue<ExecutedRequest> executedRequests() {
        return mExecutedRequests;
    }

    /** Returns how often this replica executed a request. */
    public int executionCount(String requestId) {
        return mExecutionsByRequestId.getOrDefault(requestId, 0);
    }

    /** Returns the number of requests rejected with a Retry-After delay. */
    public int rejectedWithRetryAfter() {
        return mRejectedWithRetryAfter.get();
    }

    /** Returns the number of running requests. */
    public int running() {
        return mRunning.get();
    }

    private void serve(HttpServerRequest request) {
        if (request.path().equals("/healthz")) {
            request.response().putHeader("Filbertrudder-Instance-Id", mId).end();
            return;
        }
        mArrivals.add(request.getHeader("Filbertrudder-Attempt-Id"));
        request.body().onSuccess(body -> serve(request, body.toString()));
    }

    private void serve(HttpServerRequest request, String body) {
        String requestId = request.getHeader("Filbertrudder-Attempt-Id");
        HttpServerResponse response = request.response();
        String pace = mPacePercent == 0 ? "" : "," + mPacePercent;
        response.putHeader("Filbertrudder-Server-Load", mRunning + ",0," + mSlots + pace);
        if (requestId != null) {
            response.putHeader("Filbertrudder-Attempt-Id", requestId);
        }
        String limit = mLimit;
        if (limit != null) {
            response.putHeader("Server-Limit", limit);
            response.headersEndHandler(ignored -> mLimitStatements.add(requestId));
        }
        if (!mId.equals(request.getHeader("Filbertrudder-Expect-Instance"))) {
            response.setStatusCode(STATUS_MISDIRECTED).end();
            return;
        }
        if (mFault == Fault.REJECT_WITH_RETRY_AFTER) {
            mRejectedWithRetryAfter.incrementAndGet();
            response.putHeader("Retry-After", Integer.toString(RETRY_AFTER_S));
        }
        if (mFault == Fault.LEAVING) {
            response.putHeader("Server-Leaving", "1");
        }
        if (mFault == Fault.REJECT
                || mFault == Fault.REJECT_WITH_RETRY_AFTER
                || (mRunning.get() >= mSlots && !mAcceptsAboveSlots)) {
            response.setStatusCode(503).putHeader("Filbertrudder-Not-Executed", "1").end();
            return;
        }
        recordExecution(request, requestId, body);
        execute(request, response);
    }

    private void recordExecution(HttpServerRequest request, String requestId, String body) {
        mPeakRunning.accumulateAndGet(mRunning.incrementAndGet(), Math::max);
        AtomicBoolean ended = new AtomicBoolean();
        Handler<Void> end =
                ignored -> {
                    if (ended.compareAndSet(false, true)) {
                        mRunning.decrementAndGet();
                    }
                };
        request.response().endHandler(end);
        request.response().closeHandler(end);
        mExecutionsByRequestId.merge(requestId, 1, Integer::sum);
        mExecutedRequests.add(
                new ExecutedRequest(
                        requestId,
                        request.getHeader("Filbertrudder-Tenant"),
                        request.getHeader("Authorization"),
                        request.uri(),
                        body,
                        request.getHeader("Last-Event-Id")));
    }

    private void execute(HttpServerRequest request, HttpServerResponse response) {
        if (mFault != Fault.NO_SERVER_STAMP) {
            response.putHeader("Filbertrudder-Server-Stamp", mId + ".stamp");
        }
        boolean stream = request.getHeader("Filbertrudder-Token-Usage") != null;
        if (stream && hasCrashingPart(request)) {
            mVertx.setTimer(PROCESSING_TIME_MS, timer -> crashAndRestart(request));
            return;
        }
        switch (mFault) {
            case NO_RESPONSE -> {}
            case LATE_RESPONSE ->
                    mVertx.setTimer(
                            LATE_RESPONSE_MS,
                            timer -> {
                                if (stream) {
                                    stream(request, response, Interruption.NONE);
                                } else {
                                    respond(request, response);
                                }
                            });
            case SINGLE_BYTES -> streamSingleBytes(response);
            case STALL -> {
                if (stream) {
                    stream(request, response, Interruption.STALL);
                }
            }
            case ERROR ->
                    mVertx.setTimer(
                            PROCESSING_TIME_MS, t -> response.setStatusCode(500).end("error"));
            case CLOSE_CONNECTION -> {
                if (stream) {
                    stream(request, response, Interruption.CLOSE_CONNECTION);
                } else {
                    mVertx.setTimer(PROCESSING_TIME_MS, t -> request.connection().close());
                }
            }
            default -> {
                if (stream) {
                    stream(request, response, Interruption.NONE);
                } else {
                    respond(request, response);
                }
            }
        }
    }

    private boolean hasCrashingPart(HttpServerRequest request) {
        String prefix = request.getHeader("Filbertrudder-Prompt-Prefix");
        if (prefix == null || mCrashingParts.isEmpty()) {
            return false;
        }
        List<String> parts = List.of(prefix.split(","));
        return parts.subList(0, parts.size() - 1).stream()
                .anyMatch(part -> mCrashingParts.contains(part.split(":")[0]));
    }

    private void crashAndRestart(HttpServerRequest request) {
        if (mDown || request.response().closed()) {
            return;
        }
        mDown = true;
        mCrashes.add(request.getHeader("Filbertrudder-Attempt-Id"));
        mServer.close();
        int starts = mStarts;
        mVertx.setTimer(
                CRASH_DOWN_MS,
                timer -> {
                    if (starts != mStarts) {
                        return;
                    }
                    listen(mPort)
                            .onSuccess(
                                    server -> {
                                        mDown = false;
                                        register("ready", 0, System.currentTimeMillis());
                                    });
                });
    }

    private void respond(HttpServerRequest request, HttpServerResponse response) {
        String body = "{\"by\":\"" + mId + "\",\"uri\":\"" + request.uri() + "\"}";
        mVertx.setTimer(PROCESSING_TIME_MS, timer -> response.end(body));
    }

    private void streamSingleBytes(HttpServerResponse response) {
        response.putHeader("content-type", "text/event-stream").setChunked(true);
        response.write("id: 1\ndata: ");
        mVertx.setPeriodic(
                BYTE_INTERVAL_MS,
                timer -> {
                    if (response.closed()) {
                        mVertx.cancelTimer(timer);
                    } else {
                        response.write("x");
                    }
                });
    }

    /** Lists how a stream is interrupted. */
    private enum Interruption {
        NONE,
        CLOSE_CONNECTION,
        STALL
    }

    private void stream(
            HttpServerRequest request, HttpServerResponse response, Interruption interruption) {
        String lastEventId = request.getHeader("Last-Event-Id");
        int[] nextEventId = {lastEventId == null ? 1 : Integer.parseInt(lastEventId) + 1};
        int interruptedEvent = nextEventId[0] + 2;
        response.putHeader("content-type", "text/event-stream").setChunked(true);
        mVertx.setPeriodic(
                mEventIntervalMs,
                timer -> {
                    if (response.closed()) {
                        mVertx.cancelTimer(timer);
                    } else if (nextEventId[0] > EVENTS_PER_STREAM) {
                        mVertx.cancelTimer(timer);
                        response.end();
                    } else if (interruption == Interruption.STALL
                            && nextEventId[0] == interruptedEvent) {
                        mVertx.cancelTimer(timer);
                    } else if (interruption == Interruption.CLOSE_CONNECTION
                            && nextEventId[0] == interruptedEvent) {
                        mVertx.cancelTimer(timer);
                        response.write("id: " + nextEventId[0] + "\nda")
                                .onComplete(done -> request.connection().close());
                    } else {
                        response.write(
                                "id: "
                                        + nextEventId[0]
                                        + "\ndata: piece "
                                        + nextEventId[0]
                                        + "\n\n");
                        nextEventId[0]++;
                    }
                });
    }
}
