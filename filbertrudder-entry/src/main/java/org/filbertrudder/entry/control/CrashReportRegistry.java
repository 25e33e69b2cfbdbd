package org.filbertrudder.entry.control;

import io.vertx.core.Context;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.retry.RequestDigest;
import org.filbertrudder.policy.retry.SuspectRequests;

/**
 * Records which requests were running when an endpoint crashed, and shares the records with all
 * instances.
 */
public final class CrashReportRegistry {

    private static final int MAX_RECORDED_REQUESTS = 10_000;
    private static final long RETENTION_MS = 3_600_000;

    private final Context mContext;
    private final LongSupplier mClockMs;
    private final BiConsumer<PeerMessage, InstanceId> mFlood;
    private final SuspectRequests mSuspectRequests;
    private volatile int mSize;

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
                    mSuspectRequests.recordCrash(report, mClockMs.getAsLong());
                    mSize = mSuspectRequests.size();
                    mFlood.accept(report, null);
                });
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
        boolean isNew = mSuspectRequests.recordCrash(report, mClockMs.getAsLong());
        mSize = mSuspectRequests.size();
        if (isNew) {
            mFlood.accept(report, from);
        }
    }

    /** Returns the number of recorded requests; may be called from any thread. */
    public int size() {
        return mSize;
    }
}
