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
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Stands in for a model engine that batches continuously and writes a token at a time. */
public final class EngineStandIn {

    /** A prompt with this text crashes the engine. */
    public static final String CRASH_MARK = "CRASH-THE-ENGINE";

    private static final int DEFAULT_TOKENS = 16;
    private static final long RESTART_MS = 1_500;
    private static final long CRASH_DELAY_MS = 30;

    private final Vertx mVertx;
    private final int mSlots;
    private final double mTokensPerSecond;
    private final long mReportLagMs;
    private final Set<HttpConnection> mConnections = new HashSet<>();
    private final Deque<Generation> mWaiting = new ArrayDeque<>();
    private final Set<Generation> mRunning = new HashSet<>();
    private final Set<String> mHeaderNames = new HashSet<>();
    private final List<String> mCredentials = new ArrayList<>();
    private HttpServer mServer;
    private int mPort;
    private boolean mLeaving;
    private long mStarted;
    private long mCrashes;
    private long mTokensWritten;
    private long mCancelled;
    private int mMostRunning;
    private JsonObject mShownLoad = new JsonObject();

    /** Creates an engine with slots that each write a number of tokens a second. */
    public EngineStandIn(Vertx vertx, int slots, double tokensPerSecond, long reportLagMs) {
        mVertx = vertx;
        mSlots = slots;
        mTokensPerSecond = tokensPerSecond;
        mReportLagMs = reportLagMs;
    }

    /** Starts to listen on loopback; returns the port. */
    public Future<Integer> listen(int port) {
        Router router = Router.router(mVertx);
        router.route().handler(BodyHandler.create(false));
        router.post("/v1/chat/completions").handler(this::generate);
        router.post("/v1/completions").handler(this::generate);
        router.get("/load").handler(this::report);
        router.get("/standin/stats").handler(this::stats);
        router.post("/standin/crash").handler(this::crashNow);
        router.post("/standin/leaving").handler(this::leave);
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
        mStarted++;
        JsonObject body = context.body().asJsonObject();
        if (body.toString().contains(CRASH_MARK)) {
            mVertx.setTimer(CRASH_DELAY_MS, timer -> crash());
        }
        Generation generation = new Generation(context, body);
        context.response().closeHandler(ignored -> drop(generation));
        if (mRunning.size() < mSlots) {
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
        long intervalMs = Math.max(1, (long) (1000 / mTokensPerSecond));
        generation.mTimer = mVertx.setPeriodic(intervalMs, timer -> generation.writeToken());
    }

    private void finished(Generation generation) {
        mVertx.cancelTimer(generation.mTimer);
        mRunning.remove(generation);
        while (mRunning.size() < mSlots && !mWaiting.isEmpty()) {
            start(mWaiting.poll());
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
        mCrashes++;
        List.copyOf(mRunning).forEach(generation -> mVertx.cancelTimer(generation.mTimer));
        mRunning.clear();
        mWaiting.clear();
        HttpServer crashed = mServer;
        List.copyOf(mConnections).forEach(HttpConnection::close);
        crashed.close();
        mVertx.setTimer(RESTART_MS, timer -> listen(mPort));
    }

    private void report(RoutingContext context) {
        JsonObject load =
                new JsonObject()
                        .put("running", mRunning.size())
                        .put("waiting", mWaiting.size())
                        .put("leaving", mLeaving);
        mVertx.setTimer(Math.max(1, mReportLagMs), timer -> mShownLoad = load);
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
                        .put("headerNames", new JsonArray(List.copyOf(mHeaderNames)))
                        .put("credentials", new JsonArray(List.copyOf(mCredentials))));
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
        private final boolean mStream;
        private final int mTokens;
        private final int mSeed;
        private final StringBuilder mText = new StringBuilder();
        private int mNext;
        private long mTimer;

        Generation(RoutingContext context, JsonObject body) {
            mContext = context;
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
                mContext.response().end("data: [DONE]\n\n");
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
            mContext.response().write("data: " + event + "\n\n");
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
