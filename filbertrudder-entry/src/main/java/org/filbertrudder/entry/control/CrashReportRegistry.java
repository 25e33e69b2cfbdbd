package org.filbertrudder.entry.control;

import io.vertx.core.Context;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.retry.RequestDigest;
import org.filbertrudder.policy.retry.SuspectRequests;

/**
 * Records which requests were running when an endpoint crashed, and shares the records with all
 * instances.
 */
public final class CrashReportRegistry {

    private static final ComponentLogger LOG = ComponentLogger.of("crashes");
    private static final int MAX_RECORDED_REQUESTS = 10_000;
    private static final long RETENTION_MS = 3_600_000;
    private static final long RATE_CHECK_INTERVAL_MS = 5_000;

    /** More reports than this within an interval are logged. */
    private static final long MAX_REPORTS_PER_INTERVAL = 1_000;

    private final Context mContext;
    private final LongSupplier mClockMs;
    private final BiConsumer<PeerMessage, InstanceId> mFlood;
    private final SuspectRequests mSuspectRequests;
    private final List<Consumer<EndpointId>> mListeners = new CopyOnWriteArrayList<>();
    private final AtomicLong mReceived = new AtomicLong();
    private final AtomicLong mForwarded = new AtomicLong();
    private long mLoggedReceived;
    private long mNextRateCheckMs;

    /**
     * Creates the registry.
     *
     * @param flood sends a message to all members except the given one; null excludes none
     */
    public CrashReportRegistry(
            Context context, LongSupplier clockMs, BiConsumer<PeerMessage, InstanceId> flood) {
        this(context, clockMs, flood, new SuspectRequests(MAX_RECORDED_REQUESTS, RETENTION_MS));
    }

    private CrashReportRegistry(
            Context context,
            LongSupplier clockMs,
            BiConsumer<PeerMessage, InstanceId> flood,
            SuspectRequests suspectRequests) {
        mContext = context;
        mClockMs = clockMs;
        mFlood = flood;
        mSuspectRequests = suspectRequests;
    }

    /**
     * Creates the registry with a limit of crashes per request.
     *
     * @param maxCrashes the number of crashes after which a request is considered their cause
     * @param flood sends a message to all members except the given one; null excludes none
     */
    public static CrashReportRegistry withMaxCrashes(
            int maxCrashes,
            Context context,
            LongSupplier clockMs,
            BiConsumer<PeerMessage, InstanceId> flood) {
        return new CrashReportRegistry(
                context,
                clockMs,
                flood,
                new SuspectRequests(MAX_RECORDED_REQUESTS, RETENTION_MS, maxCrashes));
    }

    /**
     * Records that an endpoint crashed while it ran a request and reports it to all members; may be
     * called from any thread.
     */
    public void report(PeerMessage.CrashReport report) {
        mContext.runOnContext(
                ignored -> {
                    long nowMs = mClockMs.getAsLong();
                    RequestDigest digest = new RequestDigest(report.account(), report.bodySha256());
                    // Members that have not seen the answers could not tell it from a cause.
                    boolean isExonerated =
                            !report.alone() && mSuspectRequests.isExonerated(digest, nowMs);
                    mSuspectRequests.recordCrash(report, nowMs);
                    if (!isExonerated) {
                        mFlood.accept(report, null);
                    }
                });
    }

    /**
     * Runs the listener on the control thread with the endpoint of each new report of another
     * instance.
     */
    public void addListener(Consumer<EndpointId> listener) {
        mListeners.add(listener);
    }

    /** Records that a request has been answered with success; may be called from any thread. */
    public void recordAnswer(RequestDigest digest) {
        mContext.runOnContext(
                ignored -> mSuspectRequests.recordAnswer(digest, mClockMs.getAsLong()));
    }

    /** Decides whether and where a request may run; may be called from any thread. */
    public CompletableFuture<SuspectRequests.Decision> decisionFor(RequestDigest digest) {
        CompletableFuture<SuspectRequests.Decision> result = new CompletableFuture<>();
        mContext.runOnContext(
                ignored ->
                        result.complete(
                                mSuspectRequests.decisionFor(digest, mClockMs.getAsLong())));
        return result;
    }

    /** Records the report of another instance and forwards it unless it was recorded before. */
    public void handle(PeerMessage.CrashReport report, InstanceId from) {
        long nowMs = mClockMs.getAsLong();
        mReceived.incrementAndGet();
        logHighRate(nowMs);
        boolean isNew = mSuspectRequests.recordCrash(report, nowMs);
        if (isNew) {
            mForwarded.incrementAndGet();
            mFlood.accept(report, from);
            mListeners.forEach(listener -> listener.accept(report.endpoint()));
        }
    }

    /** Logs how many reports arrived in the last interval if they are many. */
    private void logHighRate(long nowMs) {
        if (nowMs < mNextRateCheckMs) {
            return;
        }
        mNextRateCheckMs = nowMs + RATE_CHECK_INTERVAL_MS;
        long received = mReceived.get();
        if (received - mLoggedReceived > MAX_REPORTS_PER_INTERVAL) {
            LOG.warn(
                    "Many crash reports arrive.",
                    LogField.of("received", received - mLoggedReceived),
                    LogField.of("forwardedInAll", mForwarded.get()),
                    LogField.of("requests", mSuspectRequests.size()));
        }
        mLoggedReceived = received;
    }

    /** Returns the requests, for use on the control thread. */
    public SuspectRequests requests() {
        return mSuspectRequests;
    }

    /** Returns how many reports of other instances have arrived; may be called from any thread. */
    public long received() {
        return mReceived.get();
    }

    /** Returns how many of these were forwarded to others; may be called from any thread. */
    public long forwarded() {
        return mForwarded.get();
    }

    /** Returns the number of recorded requests; may be called from any thread. */
    public int size() {
        return mSuspectRequests.size();
    }
}
