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

/** Stands in for a model engine that batches continuously and writes a token at a time. */
public final class EngineStandIn {

    /** A prompt with this text crashes the engine. */
    public static final String CRASH_MARK = "CRASH-THE-ENGINE";

    private static final int DEFAULT_TOKENS = 16;
    private static final long RESTART_MS = 1_500;
    private static final long CRASH_DELAY_MS = 30;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final long PLACES_PER_PRIORITY = 1L << 40;
    private static final int LOWEST_PRIORITY = 1_000;

    private final Vertx mVertx;
    private final EngineOptions mOptions;
    private final PrefixCache mCache;
    private final EngineSetup mSetup;
    private final StreamBreak mBreak;
    private final Set<HttpConnection> mConnections = new HashSet<>();
    private final Queue<Generation> mWaiting =
            new PriorityQueue<>(Comparator.comparingLong(Generation::place));
    private final Set<Generation> mRunning = new HashSet<>();
    private final Set<String> mHeaderNames = new HashSet<>();
    private final List<String> mCredentials = new ArrayList<>();
    private HttpServer mServer;
    private int mPort;
    private boolean mLeaving;
    private boolean mDown;
    private long mStarted;
    private long mCrashes;
    private long mTokensWritten;
    private long mCancelled;
    private int mMostRunning;
    private JsonObject mShownLoad = new JsonObject();
    private long mArrivals;

    /** Creates an engine; all engines of a process share the break. */
    EngineStandIn(Vertx vertx, EngineOptions options, StreamBreak streamBreak) {
        mBreak = streamBreak;
        mVertx = vertx;
        mOptions = options;
        mCache = new PrefixCache(vertx, options);
        mSetup = new EngineSetup(vertx, options);
    }

    /** Starts to listen on loopback; returns the port. */
    public Future<Integer> listen(int port) {
        Router router = Router.router(mVertx);
        router.route().handler(BodyHandler.create(false));
        router.post("/v1/chat/completions").handler(this::generate);
        router.post("/v1/completions").handler(this::generate);
        router.get("/load").handler(this::report);
        router.get("/cache/events").handler(this::cacheEvents);
        router.post("/orders").handler(this::order);
        router.get("/standin/stats").handler(this::stats);
        router.post("/standin/crash").handler(this::crashNow);
        router.post("/standin/leaving").handler(this::leave);
        router.post("/standin/break").handler(this::breakNext);
        mServer =
                mVertx.createHttpServer().connectionHandler(this::connected).requestHandler(router);
        return mServer.listen(port, "127.0.0.1")
                .map(
                        server -> {
                            mPort = server.actualPort();
                            return mPort;
                        });
    }

    private void connected(HttpConnection connection) {
        mConnections.add(connection);
        connection.closeHandler(ignored -> mConnections.remove(connection));
    }

    private void generate(RoutingContext context) {
        context.request().headers().forEach(this::noteHeader);
        if (mSetup.switching()) {
            context.response().setStatusCode(STATUS_UNAVAILABLE).end();
            return;
        }
        mStarted++;
        JsonObject body = context.body().asJsonObject();
        if (body.toString().contains(CRASH_MARK)) {
            mVertx.setTimer(CRASH_DELAY_MS, timer -> crash());
        }
        Generation generation = new Generation(context, body);
        context.response().closeHandler(ignored -> drop(generation));
        if (mRunning.size() < mOptions.slots()) {
            start(generation);
        } else {
            mWaiting.add(generation);
        }
    }

    private void noteHeader(String name, String value) {
        mHeaderNames.add(name.toLowerCase(Locale.ROOT));
        if (value.contains("fr.k")) {
            mCredentials.add(name);
        }
    }

    private void start(Generation generation) {
        mRunning.add(generation);
        mMostRunning = Math.max(mMostRunning, mRunning.size());
        long prefillMs = mCache.use(generation.mBody) ? 0 : mOptions.prefillMs();
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

    private void finished(Generation generation) {
        mVertx.cancelTimer(generation.mTimer);
        mRunning.remove(generation);
        while (mRunning.size() < mOptions.slots() && !mWaiting.isEmpty()) {
            start(mWaiting.poll());
        }
        if (mRunning.isEmpty()) {
            mSetup.idle();
        }
    }

    private void drop(Generation generation) {
        if (mWaiting.remove(generation)) {
            mCancelled++;
        } else if (mRunning.contains(generation)) {
            mCancelled++;
            finished(generation);
        }
    }

    private void crashNow(RoutingContext context) {
        send(context, new JsonObject());
        mVertx.setTimer(CRASH_DELAY_MS, timer -> crash());
    }

    /** Drops all connections and stays away for a while. */
    private void crash() {
        if (mDown) {
            return;
        }
        mDown = true;
        mCrashes++;
        List.copyOf(mRunning).forEach(generation -> mVertx.cancelTimer(generation.mTimer));
        mRunning.clear();
        mWaiting.clear();
        mCache.clear();
        HttpServer crashed = mServer;
        List.copyOf(mConnections).forEach(HttpConnection::close);
        crashed.close();
        mVertx.setTimer(RESTART_MS, timer -> listen(mPort).onComplete(done -> mDown = false));
    }

    private void report(RoutingContext context) {
        JsonObject load =
                new JsonObject()
                        .put("running", mRunning.size())
                        .put("waiting", mWaiting.size())
                        .put("leaving", mLeaving || mSetup.switching())
                        .put("setup", mSetup.report());
        mVertx.setTimer(Math.max(1, mOptions.reportLagMs()), timer -> mShownLoad = load);
        send(context, mShownLoad);
    }

    private void stats(RoutingContext context) {
        send(
                context,
                new JsonObject()
                        .put("started", mStarted)
                        .put("crashes", mCrashes)
                        .put("tokens", mTokensWritten)
                        .put("cancelled", mCancelled)
                        .put("running", mRunning.size())
                        .put("mostRunning", mMostRunning)
                        .put("cacheHits", mCache.hits())
                        .put("cacheMisses", mCache.misses())
                        .put("setup", mSetup.stats())
                        .put("headerNames", new JsonArray(List.copyOf(mHeaderNames)))
                        .put("credentials", new JsonArray(List.copyOf(mCredentials))));
    }

    private void cacheEvents(RoutingContext context) {
        String after = context.request().getParam("after", "0");
        send(context, mCache.eventsAfter(Long.parseLong(after)));
    }

    private void order(RoutingContext context) {
        context.response().setStatusCode(mSetup.order(context.body().asJsonObject()));
        send(context, mSetup.report());
        if (mRunning.isEmpty()) {
            mSetup.idle();
        }
    }

    /** Breaks the next stream of any engine of this process after a number of bytes. */
    private void breakNext(RoutingContext context) {
        mBreak.set(context.body().asJsonObject().getInteger("afterBytes"));
        send(context, new JsonObject());
    }

    private void leave(RoutingContext context) {
        mLeaving = context.body().asJsonObject().getBoolean("leaving", true);
        send(context, new JsonObject());
    }

    private static void send(RoutingContext context, JsonObject json) {
        context.response().putHeader("content-type", "application/json").end(json.toString());
    }

    /** Writes the answer to one request; the same prompt always gets the same tokens. */
    private final class Generation {

        private final RoutingContext mContext;
        private final JsonObject mBody;
        private final long mPlace;
        private final boolean mStream;
        private final int mTokens;
        private final int mSeed;
        private final StringBuilder mText = new StringBuilder();
        private int mNext;
        private long mTimer;

        Generation(RoutingContext context, JsonObject body) {
            mContext = context;
            mBody = body;
            mPlace = priority(context) * PLACES_PER_PRIORITY + mArrivals++;
            mStream = body.getBoolean("stream", false);
            int limit = body.getInteger("max_tokens", DEFAULT_TOKENS);
            mTokens = body.getInteger("max_completion_tokens", limit);
            mSeed = String.valueOf(body.getValue("messages", body.getValue("prompt"))).hashCode();
            String offset = context.request().getHeader("x-resume-offset");
            if (mStream) {
                mNext = offset == null ? 0 : Integer.parseInt(offset);
                context.response()
                        .setChunked(true)
                        .putHeader("content-type", "text/event-stream")
                        .putHeader("x-resume-offset", Integer.toString(mNext));
            }
        }

        private static int priority(RoutingContext context) {
            String priority = context.request().getHeader("x-priority");
            return priority == null ? LOWEST_PRIORITY : Integer.parseInt(priority);
        }

        /** Returns the place in the queue: by priority, then by arrival. */
        long place() {
            return mPlace;
        }

        void writeToken() {
            if (mNext < mTokens) {
                String token = "t" + Math.floorMod(mSeed * 31 + mNext * 7919, 9973) + " ";
                mText.append(token);
                mTokensWritten++;
                if (mStream) {
                    writeEvent(token);
                }
                mNext++;
                return;
            }
            finished(this);
            if (mStream) {
                endStream("data: [DONE]\n\n");
            } else {
                send(mContext, whole());
            }
        }

        private void writeEvent(String token) {
            JsonObject delta = new JsonObject().put("content", token);
            JsonObject choice = new JsonObject().put("index", 0).put("delta", delta);
            JsonObject event =
                    new JsonObject()
                            .put("object", "chat.completion.chunk")
                            .put("choices", new JsonArray().add(choice));
            writeOrBreak("data: " + event + "\n\n");
        }

        /** Writes the text, or a part of it if the connection is to break inside. */
        private boolean writeOrBreak(String text) {
            int length = mBreak.writable(text.length());
            Future<Void> written = mContext.response().write(text.substring(0, length));
            if (length == text.length()) {
                return true;
            }
            finished(this);
            written.onComplete(done -> mContext.request().connection().close());
            return false;
        }

        private void endStream(String lastEvent) {
            if (writeOrBreak(lastEvent)) {
                mContext.response().end();
            }
        }

        private JsonObject whole() {
            JsonObject message =
                    new JsonObject().put("role", "assistant").put("content", mText.toString());
            JsonObject choice =
                    new JsonObject()
                            .put("index", 0)
                            .put("message", message)
                            .put("finish_reason", "stop");
            JsonObject usage =
                    new JsonObject()
                            .put("prompt_tokens", 8)
                            .put("completion_tokens", mTokens)
                            .put("total_tokens", 8 + mTokens);
            return new JsonObject()
                    .put("object", "chat.completion")
                    .put("choices", new JsonArray().add(choice))
                    .put("usage", usage);
        }
    }
}
