package org.filbertrudder.measure;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.filbertrudder.scenarios.Fleet;

/**
 * Sends streamed requests of one account at exponentially distributed intervals and records the
 * time to the first token.
 */
final class StreamLoadGenerator {

    private static final int STATUS_OK = 200;
    private static final int MAX_CONNECTIONS = 2_000;
    private static final int TOKENS_PER_REQUEST = 20;

    private final Vertx mVertx;
    private final HttpClient mClient;
    private final Fleet mFleet;
    private final String mAccount;
    private final String mApiKey;
    private final double mRequestsPerMs;
    private final Random mRandom;
    private final Histogram mFirstTokenMs = new Histogram(600_000, 3);
    private long mSentCount;
    private long mServedCount;
    private volatile boolean mStopped;

    StreamLoadGenerator(
            Vertx vertx, Fleet fleet, String account, double requestsPerSecond, long seed) {
        mVertx = vertx;
        mFleet = fleet;
        mAccount = account;
        mApiKey = fleet.apiKeyOf(account);
        mRequestsPerMs = requestsPerSecond / 1_000;
        mRandom = new Random(seed);
        mClient = vertx.createHttpClient(new HttpClientOptions().setMaxPoolSize(MAX_CONNECTIONS));
    }

    /** Starts sending requests through all instances in turn. */
    StreamLoadGenerator start() {
        mVertx.runOnContext(ignored -> sendNext());
        return this;
    }

    void stop() {
        mStopped = true;
    }

    private void sendNext() {
        if (mStopped) {
            return;
        }
        send();
        long intervalMs = (long) Math.max(1, -Math.log(1 - mRandom.nextDouble()) / mRequestsPerMs);
        mVertx.setTimer(intervalMs, timer -> sendNext());
    }

    private void send() {
        String id = mFleet.instanceIds().get((int) (mSentCount % mFleet.instanceIds().size()));
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost("127.0.0.1")
                        .setPort(mFleet.process(id).port("callers"))
                        .setURI("/v1/chat/completions")
                        .putHeader("authorization", "Bearer " + mApiKey)
                        .putHeader("content-type", "application/json");
        long startNs = System.nanoTime();
        String body = Fleet.chatBody(mAccount + " " + mSentCount, TOKENS_PER_REQUEST, true);
        mSentCount++;
        mClient.request(options)
                .compose(request -> request.send(body))
                .onSuccess(response -> handleResponse(response, startNs));
    }

    private void handleResponse(HttpClientResponse response, long startNs) {
        if (response.statusCode() != STATUS_OK) {
            return;
        }
        boolean[] awaitingFirstToken = {true};
        response.handler(
                data -> {
                    if (awaitingFirstToken[0]) {
                        awaitingFirstToken[0] = false;
                        recordFirstToken(startNs);
                    }
                });
    }

    private synchronized void recordFirstToken(long startNs) {
        mServedCount++;
        mFirstTokenMs.recordValue((System.nanoTime() - startNs) / 1_000_000);
    }

    /** Returns the share of the requests that received a first token. */
    synchronized double servedShare() {
        return (double) mServedCount / Math.max(1, mSentCount);
    }

    /** Adds a row with the results of the requests so far. */
    synchronized void addResults(Table table, String phase, double forwardedShare) {
        table.add(
                phase,
                mAccount,
                mSentCount,
                servedShare(),
                mFirstTokenMs.getValueAtPercentile(50),
                mFirstTokenMs.getValueAtPercentile(99),
                forwardedShare);
    }
}
