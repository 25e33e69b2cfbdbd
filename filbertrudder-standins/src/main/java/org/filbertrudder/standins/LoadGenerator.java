package org.filbertrudder.standins;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
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

/** Sends chat requests from a fixed number of concurrent callers and reports their latencies. */
final class LoadGenerator {

    private static final long MAX_LATENCY_US = TimeUnit.MINUTES.toMicros(5);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int STATUS_OK = 200;

    private final Vertx mVertx = Vertx.vertx();
    private final Histogram mLatencyUs = new Histogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
    private final CountDownLatch mCallersDone;
    private final HttpClient mClient;
    private final RequestOptions mRequestOptions;
    private final String mRequestBody;
    private final long mRequestLimit;
    private long mStartedRequests;
    private long mFailedRequests;

    private LoadGenerator(Namespace arguments) {
        int callers = arguments.getInt("callers");
        mRequestLimit = arguments.getLong("requests");
        mCallersDone = new CountDownLatch(callers);
        mClient = mVertx.createHttpClient(new HttpClientOptions().setMaxPoolSize(callers));
        mRequestOptions =
                new RequestOptions()
                        .setAbsoluteURI(arguments.getString("url"))
                        .setMethod(HttpMethod.POST)
                        .putHeader("content-type", "application/json");
        if (arguments.getString("key") != null) {
            mRequestOptions.putHeader("authorization", "Bearer " + arguments.getString("key"));
        }
        JsonObject message =
                new JsonObject().put("role", "user").put("content", "Summarise the rulebook.");
        mRequestBody =
                new JsonObject()
                        .put("model", arguments.getString("model"))
                        .put("max_tokens", arguments.getInt("max_tokens"))
                        .put("messages", new JsonArray().add(message))
                        .toString();
    }

    static void addCommandTo(Subparsers commands) {
        Subparser load = commands.addParser("load").help("send requests and report latencies");
        load.addArgument("--url").required(true);
        load.addArgument("--key");
        load.addArgument("--model").setDefault("small");
        load.addArgument("--callers").type(Integer.class).setDefault(8);
        load.addArgument("--requests").type(Long.class).setDefault(1_000L);
        load.addArgument("--max-tokens").type(Integer.class).setDefault(1);
    }

    static void run(Namespace arguments) throws Exception {
        LoadGenerator generator = new LoadGenerator(arguments);
        long startNs = System.nanoTime();
        for (int i = 0; i < arguments.getInt("callers"); i++) {
            generator.mVertx.runOnContext(ignored -> generator.sendNext());
        }
        generator.mCallersDone.await();
        double seconds = (System.nanoTime() - startNs) / 1e9;
        System.out.println(generator.summary(seconds));
        generator.mVertx.close();
    }

    private synchronized boolean reserveNextRequest() {
        if (mStartedRequests >= mRequestLimit) {
            return false;
        }
        mStartedRequests++;
        return true;
    }

    private void sendNext() {
        if (!reserveNextRequest()) {
            mCallersDone.countDown();
            return;
        }
        long startNs = System.nanoTime();
        mClient.request(mRequestOptions)
                .compose(request -> request.send(mRequestBody).compose(LoadGenerator::readStatus))
                .onComplete(
                        result -> {
                            recordResult(
                                    startNs, result.succeeded() && result.result() == STATUS_OK);
                            sendNext();
                        });
    }

    /** Returns the status once the body is read; one that arrives before the call is not seen. */
    private static Future<Integer> readStatus(HttpClientResponse response) {
        return response.body().map(body -> response.statusCode());
    }

    private synchronized void recordResult(long startNs, boolean succeeded) {
        mLatencyUs.recordValue((System.nanoTime() - startNs) / 1_000);
        if (!succeeded) {
            mFailedRequests++;
        }
    }

    private String summary(double seconds) {
        return String.format(
                "requests=%d failed=%d per_second=%.0f p50_ms=%.2f p99_ms=%.2f max_ms=%.2f",
                mRequestLimit,
                mFailedRequests,
                mRequestLimit / seconds,
                mLatencyUs.getValueAtPercentile(50) / 1e3,
                mLatencyUs.getValueAtPercentile(99) / 1e3,
                mLatencyUs.getMaxValue() / 1e3);
    }
}
