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

/** Streams answers at a random pace for one account and notes the time to the first token. */
final class StreamLoad {

    private static final int STATUS_OK = 200;
    private static final int MAX_CONNECTIONS = 2_000;
    private static final int TOKENS = 20;

    private final Vertx mVertx;
    private final HttpClient mClient;
    private final Fleet mFleet;
    private final String mAccount;
    private final String mKey;
    private final double mPerMs;
    private final Random mRandom;
    private final Histogram mFirstTokenMs = new Histogram(600_000, 3);
    private long mSent;
    private long mServed;
    private volatile boolean mStopped;

    StreamLoad(Vertx vertx, Fleet fleet, String account, double perSecond, long seed) {
        mVertx = vertx;
        mFleet = fleet;
        mAccount = account;
        mKey = fleet.apiKeyOf(account);
        mPerMs = perSecond / 1_000;
        mRandom = new Random(seed);
        mClient = vertx.createHttpClient(new HttpClientOptions().setMaxPoolSize(MAX_CONNECTIONS));
    }

    /** Starts to send through all instances in turn. */
    StreamLoad start() {
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
        long gapMs = (long) Math.max(1, -Math.log(1 - mRandom.nextDouble()) / mPerMs);
        mVertx.setTimer(gapMs, timer -> sendNext());
    }

    private void send() {
        String id = mFleet.instanceIds().get((int) (mSent % mFleet.instanceIds().size()));
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost("127.0.0.1")
                        .setPort(mFleet.process(id).port("callers"))
                        .setURI("/v1/chat/completions")
                        .putHeader("authorization", "Bearer " + mKey)
                        .putHeader("content-type", "application/json");
        long startNs = System.nanoTime();
        String body = Fleet.chatBody(mAccount + " " + mSent, TOKENS, true);
        mSent++;
        mClient.request(options)
                .compose(request -> request.send(body))
                .onSuccess(response -> receive(response, startNs));
    }

    private void receive(HttpClientResponse response, long startNs) {
        if (response.statusCode() != STATUS_OK) {
            return;
        }
        boolean[] first = {true};
        response.handler(
                data -> {
                    if (first[0]) {
                        first[0] = false;
                        note(startNs);
                    }
                });
    }

    private synchronized void note(long startNs) {
        mServed++;
        mFirstTokenMs.recordValue((System.nanoTime() - startNs) / 1_000_000);
    }

    /** Returns the share of the requests that got a first token. */
    synchronized double servedShare() {
        return (double) mServed / Math.max(1, mSent);
    }

    /** Adds a row about the requests so far. */
    synchronized void report(Table table, String phase, double sentAway) {
        table.add(
                phase,
                mAccount,
                mSent,
                servedShare(),
                mFirstTokenMs.getValueAtPercentile(50),
                mFirstTokenMs.getValueAtPercentile(99),
                sentAway);
    }
}
