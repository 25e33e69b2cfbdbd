package org.filbertrudder.policy.retry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.message.PeerMessage;

/**
 * Remembers requests that were running when an endpoint crashed.
 *
 * <p>A request that ran alone at a crash is the culprit. One that shared the endpoint is a suspect:
 * it may run again only alone, so that the next crash convicts nobody else.
 */
public final class SuspectRequests {

    private static final int USUAL_MAX_CRASHES = 2;
    private static final long SAME_CRASH_MS = 3_000;

    private final int mCapacity;
    private final long mRetentionMs;
    private final int mMaxCrashes;
    private final LinkedHashMap<RequestDigest, History> mHistories = new LinkedHashMap<>();

    /** Creates a memory for a number of requests, each kept for a time in milliseconds. */
    public SuspectRequests(int capacity, long retentionMs) {
        this(capacity, retentionMs, USUAL_MAX_CRASHES);
    }

    /** Creates a memory that convicts a request after a number of crashes. */
    public SuspectRequests(int capacity, long retentionMs, int maxCrashes) {
        mCapacity = capacity;
        mRetentionMs = retentionMs;
        mMaxCrashes = maxCrashes;
    }

    /** Notes a crash and returns whether it was news; one that is reported twice counts once. */
    public boolean note(PeerMessage.CrashReport report, long nowMs) {
        RequestDigest request = new RequestDigest(report.account(), report.bodySha256());
        History history = mHistories.remove(request);
        if (history == null || history.expired(nowMs, mRetentionMs)) {
            history = new History();
        }
        boolean news = history.note(report, nowMs, mMaxCrashes);
        mHistories.put(request, history);
        if (mHistories.size() > mCapacity) {
            mHistories.remove(mHistories.keySet().iterator().next());
        }
        return news;
    }

    /** Returns how the request may run. */
    public Verdict verdict(RequestDigest request, long nowMs) {
        History history = mHistories.get(request);
        if (history == null || history.expired(nowMs, mRetentionMs)) {
            return Verdict.FREE;
        }
        return history.mGuilty ? Verdict.REFUSE : Verdict.ALONE;
    }

    /** Returns the number of requests remembered. */
    public int size() {
        return mHistories.size();
    }

    /** Lists how a request may run. */
    public enum Verdict {
        /** Nothing is known against the request. */
        FREE,
        /** The request may run only on an endpoint that runs nothing else. */
        ALONE,
        /** The request has crashed an endpoint and must not run again. */
        REFUSE
    }

    /** Holds what is known of one request. */
    private static final class History {

        private final List<Crash> mCrashes = new ArrayList<>();
        private boolean mGuilty;
        private long mUpdatedMs;

        /** Notes a crash and returns whether it was news; copies share the crash they ran in. */
        boolean note(PeerMessage.CrashReport report, long nowMs, int maxCrashes) {
            mUpdatedMs = nowMs;
            Crash crash = new Crash(report.endpoint(), report.atMs());
            boolean news = mCrashes.stream().noneMatch(crash::isSameAs);
            if (news && mCrashes.size() < maxCrashes) {
                mCrashes.add(crash);
            }
            boolean convicts = report.alone() && !mGuilty;
            mGuilty |= report.alone() || mCrashes.size() >= maxCrashes;
            return news || convicts;
        }

        boolean expired(long nowMs, long retentionMs) {
            return nowMs - mUpdatedMs > retentionMs;
        }
    }

    private record Crash(EndpointId endpoint, long atMs) {

        boolean isSameAs(Crash other) {
            return endpoint.equals(other.endpoint())
                    && Math.abs(atMs - other.atMs()) < SAME_CRASH_MS;
        }
    }
}
