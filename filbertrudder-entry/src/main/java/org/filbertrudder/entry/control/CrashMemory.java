package org.filbertrudder.entry.control;

import io.vertx.core.Context;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.retry.RequestDigest;
import org.filbertrudder.policy.retry.SuspectRequests;

/** Shares with all instances which requests were running when an endpoint crashed. */
public final class CrashMemory {

    private static final int MAX_REQUESTS = 10_000;
    private static final long RETENTION_MS = 3_600_000;

    private final Context mContext;
    private final LongSupplier mClockMs;
    private final BiConsumer<PeerMessage, InstanceId> mFlood;
    private final SuspectRequests mSuspects;
    private volatile int mSize;

    /** Creates a memory; the action passes a message on to all members but the one named. */
    public CrashMemory(
            Context context, LongSupplier clockMs, BiConsumer<PeerMessage, InstanceId> flood) {
        this(context, clockMs, flood, new SuspectRequests(MAX_REQUESTS, RETENTION_MS));
    }

    private CrashMemory(
            Context context,
            LongSupplier clockMs,
            BiConsumer<PeerMessage, InstanceId> flood,
            SuspectRequests suspects) {
        mContext = context;
        mClockMs = clockMs;
        mFlood = flood;
        mSuspects = suspects;
    }

    /** Creates a memory that convicts a request after a number of crashes. */
    public static CrashMemory convictingAfter(
            int maxCrashes,
            Context context,
            LongSupplier clockMs,
            BiConsumer<PeerMessage, InstanceId> flood) {
        return new CrashMemory(
                context,
                clockMs,
                flood,
                new SuspectRequests(MAX_REQUESTS, RETENTION_MS, maxCrashes));
    }

    /** Spreads the news that an endpoint crashed under a request; from any thread. */
    public void report(PeerMessage.CrashReport report) {
        mContext.runOnContext(
                ignored -> {
                    mSuspects.note(report, mClockMs.getAsLong());
                    mSize = mSuspects.size();
                    mFlood.accept(report, null);
                });
    }

    /** Tells how a request may run; from any thread. */
    public CompletableFuture<SuspectRequests.Verdict> verdict(RequestDigest digest) {
        CompletableFuture<SuspectRequests.Verdict> result = new CompletableFuture<>();
        mContext.runOnContext(
                ignored -> result.complete(mSuspects.verdict(digest, mClockMs.getAsLong())));
        return result;
    }

    /** Notes the report of another instance and passes it on if it was news. */
    public void handle(PeerMessage.CrashReport report, InstanceId from) {
        boolean news = mSuspects.note(report, mClockMs.getAsLong());
        mSize = mSuspects.size();
        if (news) {
            mFlood.accept(report, from);
        }
    }

    /** Returns the number of requests remembered; from any thread. */
    public int size() {
        return mSize;
    }
}
