package org.filbertrudder.entry.traffic;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;

/** Counts requests by outcome and measures the time to the first byte of the response. */
public final class TrafficMetrics {

    private final MetricRegistry mRegistry;
    private final Counter mReceived;
    private final Counter mCompleted;
    private final Counter mCancelled;
    private final Counter mRetries;
    private final Counter mForwarded;
    private final Counter mRunning;
    private final Timer mFirstByte;

    /** Registers the metrics in the registry. */
    public TrafficMetrics(MetricRegistry registry) {
        mRegistry = registry;
        mReceived = registry.counter("requests.received");
        mCompleted = registry.counter("requests.completed");
        mCancelled = registry.counter("requests.cancelled");
        mRetries = registry.counter("requests.retries");
        mForwarded = registry.counter("requests.forwarded");
        mRunning = registry.counter("requests.running");
        mFirstByte = registry.timer("requests.firstByte");
    }

    void received() {
        mReceived.inc();
        mRunning.inc();
    }

    void ended() {
        mRunning.dec();
    }

    void completed() {
        mCompleted.inc();
    }

    void cancelled() {
        mCancelled.inc();
    }

    void refused(String code) {
        mRegistry.counter("requests.refused." + code).inc();
    }

    void retried() {
        mRetries.inc();
    }

    void forwarded() {
        mForwarded.inc();
    }

    void firstByte(long elapsedMs) {
        mFirstByte.update(elapsedMs, TimeUnit.MILLISECONDS);
    }

    /** Returns the number of requests that have been received and have not ended. */
    public long running() {
        return mRunning.getCount();
    }
}
