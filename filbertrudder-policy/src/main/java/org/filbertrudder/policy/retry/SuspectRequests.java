package org.filbertrudder.policy.retry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.message.PeerMessage;

/**
 * Tracks requests that were running when an endpoint crashed.
 *
 * <p>A request that ran alone on the endpoint caused the crash and is refused. A request that
 * shared the endpoint with others is a suspect: it may run again only alone, so that another crash
 * implicates no other request. After the maximum number of crashes it is refused as well, unless it
 * has been answered since.
 */
public final class SuspectRequests {

    private static final int DEFAULT_MAX_CRASHES = 2;
    private static final long SAME_CRASH_WINDOW_MS = 3_000;

    private static final int MAX_CLEARED_CRASHES = 16;

    /** How long the success of a request speaks against its being the cause of crashes. */
    private static final long EXONERATION_MS = 600_000;

    private final int mMaxRequests;
    private final long mRetentionMs;
    private final int mMaxCrashes;
    private final LinkedHashMap<RequestDigest, History> mHistories = new LinkedHashMap<>();

    /** Creates a tracker for a number of requests, each kept for a time in milliseconds. */
    public SuspectRequests(int maxRequests, long retentionMs) {
        this(maxRequests, retentionMs, DEFAULT_MAX_CRASHES);
    }

    /** Creates a tracker that refuses a request after the given number of crashes. */
    public SuspectRequests(int maxRequests, long retentionMs, int maxCrashes) {
        mMaxRequests = maxRequests;
        mRetentionMs = retentionMs;
        mMaxCrashes = maxCrashes;
    }

    /**
     * Records a crash report and returns whether it is new: it reports another crash up to the
     * maximum, or shows that a request that is not refused yet ran alone. A crash that is reported
     * twice counts once. As at most one report more than the maximum is new, reports that instances
     * send on while they are new come to an end.
     */
    public boolean recordCrash(PeerMessage.CrashReport report, long nowMs) {
        RequestDigest request = new RequestDigest(report.account(), report.bodySha256());
        History history = mHistories.remove(request);
        if (history == null || history.isExpired(nowMs, mRetentionMs)) {
            history = new History();
        }
        boolean isNew = history.addCrash(report, nowMs, mMaxCrashes);
        mHistories.put(request, history);
        if (mHistories.size() > mMaxRequests) {
            mHistories.remove(mHistories.keySet().iterator().next());
        }
        return isNew;
    }

    /**
     * Records that a request has been answered with success. It does not crash endpoints, so the
     * crashes that it ran in count no longer, unless it ran alone in one.
     */
    public void recordAnswer(RequestDigest request, long nowMs) {
        History history = mHistories.get(request);
        if (history != null) {
            history.recordAnswer(nowMs);
        }
    }

    /** Returns whether the request has recently been answered after it had run in a crash. */
    public boolean isExonerated(RequestDigest request, long nowMs) {
        History history = mHistories.get(request);
        return history != null && nowMs - history.mAnsweredMs < EXONERATION_MS;
    }

    /** Returns whether and where the request may run. */
    public Decision decisionFor(RequestDigest request, long nowMs) {
        History history = mHistories.get(request);
        if (history == null || history.isExpired(nowMs, mRetentionMs)) {
            return Decision.UNRESTRICTED;
        }
        if (history.mRefused) {
            return Decision.REFUSED;
        }
        return history.mCrashes.isEmpty() ? Decision.UNRESTRICTED : Decision.EXCLUSIVE;
    }

    /** Returns the number of tracked requests. */
    public int size() {
        return mHistories.size();
    }

    /** Decision whether and where a request may run. */
    public enum Decision {
        /** The request ran during no known crash and may run on any endpoint. */
        UNRESTRICTED,
        /** The request may run only on an endpoint that runs no other request. */
        EXCLUSIVE,
        /**
         * The request caused a crash or reached the maximum number of crashes; it must not run
         * again.
         */
        REFUSED
    }

    /** Crashes during which one request ran. */
    private static final class History {

        private final List<Crash> mCrashes = new ArrayList<>();

        /** Crashes that no longer count; a report of one that is still under way is not new. */
        private final List<Crash> mClearedCrashes = new ArrayList<>();

        private boolean mRefused;
        private boolean mRanAlone;
        private long mUpdatedMs;
        private long mAnsweredMs = Long.MIN_VALUE / 2;

        /**
         * Records a crash report and returns whether it is new; copies may run in the same crash.
         */
        boolean addCrash(PeerMessage.CrashReport report, long nowMs, int maxCrashes) {
            mUpdatedMs = nowMs;
            Crash crash = new Crash(report.endpoint(), report.atMs());
            boolean isNewCrash =
                    mCrashes.size() < maxCrashes
                            && mCrashes.stream().noneMatch(crash::isSameAs)
                            && mClearedCrashes.stream().noneMatch(crash::isSameAs);
            if (isNewCrash) {
                mCrashes.add(crash);
            }
            boolean provesCause = report.alone() && !mRefused;
            mRanAlone |= report.alone();
            mRefused |= mRanAlone || mCrashes.size() >= maxCrashes;
            return isNewCrash || provesCause;
        }

        void recordAnswer(long nowMs) {
            mAnsweredMs = nowMs;
            if (!mRanAlone) {
                mClearedCrashes.addAll(mCrashes);
                int excess = Math.max(0, mClearedCrashes.size() - MAX_CLEARED_CRASHES);
                mClearedCrashes.subList(0, excess).clear();
                mCrashes.clear();
                mRefused = false;
            }
        }

        boolean isExpired(long nowMs, long retentionMs) {
            return nowMs - mUpdatedMs > retentionMs;
        }
    }

    private record Crash(EndpointId endpoint, long atMs) {

        boolean isSameAs(Crash other) {
            return endpoint.equals(other.endpoint())
                    && Math.abs(atMs - other.atMs()) < SAME_CRASH_WINDOW_MS;
        }
    }
}
