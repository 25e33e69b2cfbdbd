package org.filbertrudder.standins;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;

/** Simulates a model engine with continuous batching that generates one token at a time. */
public final class EngineStandIn {

    /** The text in a request body that crashes the engine. */
    public static final String CRASH_PROMPT = "CRASH-THE-ENGINE";

    private static final int DEFAULT_MAX_TOKENS = 16;
    private static final long RESTART_DELAY_MS = 1_500;
    private static final long CRASH_DELAY_MS = 30;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final long ARRIVALS_PER_PRIORITY = 1L << 40;
    private static final int LOWEST_PRIORITY = 1_000;

    private final Vertx mVertx;
    private final EngineOptions mOptions;
    private final PrefixCache mCache;
    private final ModelLoader mModelLoader;
    private final StreamTruncation mStreamTruncation;
    private final Set<HttpConnection> mConnections = new HashSet<>();
    private final Queue<Generation> mWaiting =
            new PriorityQueue<>(Comparator.comparingLong(Generation::queueOrder));
    private final Set<Generation> mRunning = new HashSet<>();
    private final Set<String> mHeaderNames = new HashSet<>();
    private final List<String> mCredentialHeaders = new ArrayList<>();
    private HttpServer mServer;
    private int mPort;
    private boolean mLeaving;
    private boolean mCrashed;
    private long mAcceptedRequests;
    private long mCrashes;
    private long mGeneratedTokens;
    private long mCancelledRequests;
    private int mMaxRunning;
    private JsonObject mReportedLoad = new JsonObject();
    private long mArrivalCount;

    /** Creates an engine; all engines of a process share the stream truncation. */
    EngineStandIn(Vertx vertx, EngineOptions options, StreamTruncation streamTruncation) {
        mStreamTruncation = streamTruncation;
        mVertx = vertx;
        mOptions = options;
        mCache = new PrefixCache(vertx, options);
        mModelLoader = new ModelLoader(vertx, options);
    }

    /** Starts to listen on loopback and returns the bound port. */
    public Future<Integer> listen(int port) {
        Router router = Router.router(mVertx);
        router.route().handler(BodyHandler.create(false));
        router.post("/v1/chat/completions").handler(this::generate);
        router.post("/v1/completions").handler(this::generate);
        router.get("/load").handler(this::reportLoad);
        router.get("/cache/events").handler(this::sendCacheEvents);
        router.post("/orders").handler(this::acceptOrder);
        router.get("/standin/stats").handler(this::reportStats);
        router.post("/standin/crash").handler(this::crashOnDemand);
        router.post("/standin/leaving").handler(this::setLeaving);
        router.post("/standin/break").handler(this::truncateNextStream);
        mServer =
                mVertx.createHttpServer()
                        .connectionHandler(this::trackConnection)
                        .requestHandler(router);
        return mServer.listen(port, "127.0.0.1")
                .map(
                        server -> {
                            mPort = server.actualPort();
                            return mPort;
                        });
    }

    private void trackConnection(HttpConnection connection) {
        mConnections.add(connection);
        connection.closeHandler(ignored -> mConnections.remove(connection));
    }

    private void generate(RoutingContext context) {
        context.request().headers().forEach(this::recordHeader);
        if (mModelLoader.switching()) {
            context.response().setStatusCode(STATUS_UNAVAILABLE).end();
            return;
        }
        mAcceptedRequests++;
        JsonObject body = context.body().asJsonObject();
        if (body.toString().contains(CRASH_PROMPT)) {
            mVertx.setTimer(CRASH_DELAY_MS, timer -> crash());
        }
        Generation generation = new Generation(context, body);
        context.response().closeHandler(ignored -> cancel(generation));
        if (mRunning.size() < mOptions.slots()) {
            start(generation);
        } else {
            mWaiting.add(generation);
        }
    }

    private void recordHeader(String name, String value) {
        mHeaderNames.add(name.toLowerCase(Locale.ROOT));
        // Issued API keys start with this text.
        if (value.contains("fr.k")) {
            mCredentialHeaders.add(name);
        }
    }

    private void start(Generation generation) {
        mRunning.add(generation);
        mMaxRunning = Math.max(mMaxRunning, mRunning.size());
        long prefillMs = mCache.lookUpOrStore(generation.mBody) ? 0 : mOptions.prefillMs();
        if (prefillMs == 0) {
            decode(generation);
        } else {
            generation.mTimer = mVertx.setTimer(prefillMs, timer -> decode(generation));
        }
    }

    private void decode(Generation generation) {
        long intervalMs = Math.max(1, (long) (1000 / mOptions.tokensPerSecond()));
        generation.mTimer = mVertx.setPeriodic(intervalMs, timer -> generation.writeToken());
    }

    private void releaseSlot(Generation generation) {
        mVertx.cancelTimer(generation.mTimer);
        mRunning.remove(generation);
        while (mRunning.size() < mOptions.slots() && !mWaiting.isEmpty()) {
            start(mWaiting.poll());
        }
        if (mRunning.isEmpty()) {
            mModelLoader.startPendingLoad();
        }
    }

    private void cancel(Generation generation) {
        if (mWaiting.remove(generation)) {
            mCancelledRequests++;
        } else if (mRunning.contains(generation)) {
            mCancelledRequests++;
            releaseSlot(generation);
        }
    }

    private void crashOnDemand(RoutingContext context) {
        send(context, new JsonObject());
        mVertx.setTimer(CRASH_DELAY_MS, timer -> crash());
    }

    /** Closes all connections and listens again after the restart delay. */
    private void crash() {
        if (mCrashed) {
            return;
        }
        mCrashed = true;
        mCrashes++;
        List.copyOf(mRunning).forEach(generation -> mVertx.cancelTimer(generation.mTimer));
        mRunning.clear();
        mWaiting.clear();
        mCache.clear();
        HttpServer crashedServer = mServer;
        List.copyOf(mConnections).forEach(HttpConnection::close);
        crashedServer.close();
        mVertx.setTimer(
                RESTART_DELAY_MS, timer -> listen(mPort).onComplete(done -> mCrashed = false));
    }

    private void reportLoad(RoutingContext context) {
        JsonObject load =
                new JsonObject()
                        .put("running", mRunning.size())
                        .put("waiting", mWaiting.size())
                        .put("leaving", mLeaving || mModelLoader.switching())
                        .put("setup", mModelLoader.report());
        mVertx.setTimer(Math.max(1, mOptions.reportLagMs()), timer -> mReportedLoad = load);
        send(context, mReportedLoad);
    }

    private void reportStats(RoutingContext context) {
        send(
                context,
                new JsonObject()
                        .put("started", mAcceptedRequests)
                        .put("crashes", mCrashes)
                        .put("tokens", mGeneratedTokens)
                        .put("cancelled", mCancelledRequests)
                        .put("running", mRunning.size())
                        .put("mostRunning", mMaxRunning)
                        .put("cacheHits", mCache.hits())
                        .put("cacheMisses", mCache.misses())
                        .put("setup", mModelLoader.stats())
                        .put("headerNames", new JsonArray(List.copyOf(mHeaderNames)))
                        .put("credentials", new JsonArray(List.copyOf(mCredentialHeaders))));
    }

    private void sendCacheEvents(RoutingContext context) {
        String after = context.request().getParam("after", "0");
        send(context, mCache.eventsAfter(Long.parseLong(after)));
    }

    private void acceptOrder(RoutingContext context) {
        context.response().setStatusCode(mModelLoader.accept(context.body().asJsonObject()));
        send(context, mModelLoader.report());
        if (mRunning.isEmpty()) {
            mModelLoader.startPendingLoad();
        }
    }

    /** Truncates the next stream of any engine of this process after a number of bytes. */
    private void truncateNextStream(RoutingContext context) {
        mStreamTruncation.set(context.body().asJsonObject().getInteger("afterBytes"));
        send(context, new JsonObject());
    }

    private void setLeaving(RoutingContext context) {
        mLeaving = context.body().asJsonObject().getBoolean("leaving", true);
        send(context, new JsonObject());
    }

    private static void send(RoutingContext context, JsonObject json) {
        context.response().putHeader("content-type", "application/json").end(json.toString());
    }

    /** Generates the response to one request; equal prompts always produce equal tokens. */
    private final class Generation {

        private final RoutingContext mContext;
        private final JsonObject mBody;
        private final long mQueueOrder;
        private final boolean mStream;
        private final int mTokenCount;
        private final int mSeed;
        private final StringBuilder mGeneratedText = new StringBuilder();
        private int mNextToken;
        private long mTimer;

        Generation(RoutingContext context, JsonObject body) {
            mContext = context;
            mBody = body;
            mQueueOrder = priority(context) * ARRIVALS_PER_PRIORITY + mArrivalCount++;
            mStream = body.getBoolean("stream", false);
            int maxTokens = body.getInteger("max_tokens", DEFAULT_MAX_TOKENS);
            mTokenCount = body.getInteger("max_completion_tokens", maxTokens);
            mSeed = String.valueOf(body.getValue("messages", body.getValue("prompt"))).hashCode();
            String offset = context.request().getHeader("x-resume-offset");
            if (mStream) {
                mNextToken = offset == null ? 0 : Integer.parseInt(offset);
                context.response()
                        .setChunked(true)
                        .putHeader("content-type", "text/event-stream")
                        .putHeader("x-resume-offset", Integer.toString(mNextToken));
            }
        }

        private static int priority(RoutingContext context) {
            String priority = context.request().getHeader("x-priority");
            return priority == null ? LOWEST_PRIORITY : Integer.parseInt(priority);
        }

        /** Returns the sort key in the queue: by priority, then by arrival. */
        long queueOrder() {
            return mQueueOrder;
        }

        void writeToken() {
            if (mNextToken < mTokenCount) {
                String token = "t" + Math.floorMod(mSeed * 31 + mNextToken * 7919, 9973) + " ";
                mGeneratedText.append(token);
                mGeneratedTokens++;
                if (mStream) {
                    writeEvent(token);
                }
                mNextToken++;
                return;
            }
            releaseSlot(this);
            if (mStream) {
                endStream("data: [DONE]\n\n");
            } else {
                send(mContext, completeResponse());
            }
        }

        private void writeEvent(String token) {
            JsonObject delta = new JsonObject().put("content", token);
            JsonObject choice = new JsonObject().put("index", 0).put("delta", delta);
            JsonObject event =
                    new JsonObject()
                            .put("object", "chat.completion.chunk")
                            .put("choices", new JsonArray().add(choice));
            writeOrTruncate("data: " + event + "\n\n");
        }

        /**
         * Writes the text; if a truncation is due, writes only its beginning and closes the
         * connection. Returns whether the whole text was written.
         */
        private boolean writeOrTruncate(String text) {
            int length = mStreamTruncation.writableLength(text.length());
            Future<Void> written = mContext.response().write(text.substring(0, length));
            if (length == text.length()) {
                return true;
            }
            releaseSlot(this);
            written.onComplete(done -> mContext.request().connection().close());
            return false;
        }

        private void endStream(String finalEvent) {
            if (writeOrTruncate(finalEvent)) {
                mContext.response().end();
            }
        }

        private JsonObject completeResponse() {
            JsonObject message =
                    new JsonObject()
                            .put("role", "assistant")
                            .put("content", mGeneratedText.toString());
            JsonObject choice =
                    new JsonObject()
                            .put("index", 0)
                            .put("message", message)
                            .put("finish_reason", "stop");
            JsonObject usage =
                    new JsonObject()
                            .put("prompt_tokens", 8)
                            .put("completion_tokens", mTokenCount)
                            .put("total_tokens", 8 + mTokenCount);
            return new JsonObject()
                    .put("object", "chat.completion")
                    .put("choices", new JsonArray().add(choice))
                    .put("usage", usage);
        }
    }
}
