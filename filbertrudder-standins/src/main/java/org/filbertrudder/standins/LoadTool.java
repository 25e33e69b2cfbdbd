package org.filbertrudder.standins;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.HdrHistogram.Histogram;

/** Sends chat requests from a fixed number of callers and reports latencies. */
final class LoadTool {

    private static final long MAX_VALUE_US = TimeUnit.MINUTES.toMicros(5);
    private static final int DIGITS = 3;
    private static final int STATUS_OK = 200;

    private final Vertx mVertx = Vertx.vertx();
    private final Histogram mLatencyUs = new Histogram(MAX_VALUE_US, DIGITS);
    private final CountDownLatch mDone;
    private final HttpClient mClient;
    private final RequestOptions mOptions;
    private final String mBody;
    private final long mRequests;
    private long mStarted;
    private long mFailed;

    private LoadTool(Namespace arguments) {
        int callers = arguments.getInt("callers");
        mRequests = arguments.getLong("requests");
        mDone = new CountDownLatch(callers);
        mClient = mVertx.createHttpClient(new HttpClientOptions().setMaxPoolSize(callers));
        mOptions =
                new RequestOptions()
                        .setAbsoluteURI(arguments.getString("url"))
                        .setMethod(HttpMethod.POST)
                        .putHeader("content-type", "application/json");
        if (arguments.getString("key") != null) {
            mOptions.putHeader("authorization", "Bearer " + arguments.getString("key"));
        }
        JsonObject message =
                new JsonObject().put("role", "user").put("content", "Summarise the rulebook.");
        mBody =
                new JsonObject()
                        .put("model", arguments.getString("model"))
                        .put("max_tokens", arguments.getInt("max_tokens"))
                        .put("messages", new JsonArray().add(message))
                        .toString();
    }

    static void addTo(Subparsers commands) {
        Subparser load = commands.addParser("load").help("send requests and report latencies");
        load.addArgument("--url").required(true);
        load.addArgument("--key");
        load.addArgument("--model").setDefault("small");
        load.addArgument("--callers").type(Integer.class).setDefault(8);
        load.addArgument("--requests").type(Long.class).setDefault(1_000L);
        load.addArgument("--max-tokens").type(Integer.class).setDefault(1);
    }

    static void run(Namespace arguments) throws Exception {
        LoadTool tool = new LoadTool(arguments);
        long startNs = System.nanoTime();
        for (int i = 0; i < arguments.getInt("callers"); i++) {
            tool.mVertx.runOnContext(ignored -> tool.sendNext());
        }
        tool.mDone.await();
        double seconds = (System.nanoTime() - startNs) / 1e9;
        System.out.println(tool.report(seconds));
        tool.mVertx.close();
    }

    private synchronized boolean takeNext() {
        if (mStarted >= mRequests) {
            return false;
        }
        mStarted++;
        return true;
    }

    private void sendNext() {
        if (!takeNext()) {
            mDone.countDown();
            return;
        }
        long startNs = System.nanoTime();
        mClient.request(mOptions)
                .compose(request -> request.send(mBody))
                .compose(response -> response.body().map(body -> response.statusCode()))
                .onComplete(
                        result -> {
                            note(startNs, result.succeeded() && result.result() == STATUS_OK);
                            sendNext();
                        });
    }

    private synchronized void note(long startNs, boolean succeeded) {
        mLatencyUs.recordValue((System.nanoTime() - startNs) / 1_000);
        if (!succeeded) {
            mFailed++;
        }
    }

    private String report(double seconds) {
        return String.format(
                "requests=%d failed=%d per_second=%.0f p50_ms=%.2f p99_ms=%.2f max_ms=%.2f",
                mRequests,
                mFailed,
                mRequests / seconds,
                mLatencyUs.getValueAtPercentile(50) / 1e3,
                mLatencyUs.getValueAtPercentile(99) / 1e3,
                mLatencyUs.getMaxValue() / 1e3);
    }
}
