package org.filbertrudder.policy.retry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import org.filbertrudder.model.message.CrashRecord;
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
    private static final int MAX_CLEARED_CRASHES = 16;

    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    /** The age of the last answer to a request that has not been answered. */
    private static final long NEVER_ANSWERED = -1;

    /** How long the success of a request speaks against its being the cause of crashes. */
    private static final long EXONERATION_MS = 600_000;

    private final int mMaxRequests;
    private final long mRetentionMs;
    private final int mMaxCrashes;

    /** The requests that may run, least recently recorded first. */
    private final LinkedHashMap<RequestDigest, History> mSuspects = new LinkedHashMap<>();

    /** The refused requests, apart from the others, which many crashes would displace them by. */
    private final LinkedHashMap<RequestDigest, History> mRefused = new LinkedHashMap<>();

    private volatile int mSize;

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
        History history = historyOf(request, nowMs);
        boolean isNew = history.addCrash(report, nowMs, mMaxCrashes);
        put(request, history);
        return isNew;
    }

    /** Returns the history of a request; an empty one if none is kept. */
    private History historyOf(RequestDigest request, long nowMs) {
        History history = find(request);
        return history == null || history.isExpired(nowMs, mRetentionMs) ? new History() : history;
    }

    private History find(RequestDigest request) {
        History history = mRefused.get(request);
        return history == null ? mSuspects.get(request) : history;
    }

    /** Keeps a history, as the most recent one, and drops the least recent one beyond the limit. */
    private void put(RequestDigest request, History history) {
        mRefused.remove(request);
        mSuspects.remove(request);
        LinkedHashMap<RequestDigest, History> histories =
                history.isRefused(mMaxCrashes) ? mRefused : mSuspects;
        histories.put(request, history);
        if (histories.size() > mMaxRequests) {
            histories.remove(histories.keySet().iterator().next());
        }
        updateSize();
    }

    private void updateSize() {
        mSize = mRefused.size() + mSuspects.size();
    }

    /** Drops what is older than the retention time. */
    public void expire(long nowMs) {
        mRefused.values().removeIf(history -> history.isExpired(nowMs, mRetentionMs));
        mSuspects.values().removeIf(history -> history.isExpired(nowMs, mRetentionMs));
        updateSize();
    }

    /**
     * Adds what another instance, or an earlier life of the instances, has recorded. Only what is
     * known grows, so that records may come late, twice and in any order.
     */
    public void merge(CrashRecord crashRecord, long nowMs) {
        if (crashRecord.ageMs() < 0 || crashRecord.ageMs() > mRetentionMs) {
            return;
        }
        RequestDigest request = new RequestDigest(crashRecord.account(), crashRecord.bodySha256());
        History history = historyOf(request, nowMs);
        history.merge(crashRecord, nowMs, mMaxCrashes);
        put(request, history);
    }

    /** Returns the most recent records of refused requests. */
    public List<CrashRecord> refusedRecords(int maxRecords, long nowMs) {
        return newest(mRefused, maxRecords, nowMs);
    }

    /** Returns the most recent records, those of refused requests first. */
    public List<CrashRecord> records(int maxRecords, long nowMs) {
        List<CrashRecord> records = newest(mRefused, maxRecords, nowMs);
        records.addAll(newest(mSuspects, maxRecords - records.size(), nowMs));
        return records;
    }

    private static List<CrashRecord> newest(
            LinkedHashMap<RequestDigest, History> histories, int maxRecords, long nowMs) {
        List<CrashRecord> records = new ArrayList<>();
        histories.entrySet().stream()
                .skip(Math.max(0, histories.size() - maxRecords))
                .forEach(entry -> records.add(entry.getValue().toRecord(entry.getKey(), nowMs)));
        return records;
    }

    /**
     * Records that a request has been answered with success. It does not crash endpoints, so the
     * crashes that it ran in count no longer, unless it ran alone in one.
     */
    public void recordAnswer(RequestDigest request, long nowMs) {
        History history = find(request);
        if (history != null) {
            history.recordAnswer(nowMs);
            put(request, history);
        }
    }

    /** Returns whether the request has recently been answered after it had run in a crash. */
    public boolean isExonerated(RequestDigest request, long nowMs) {
        History history = find(request);
        return history != null && nowMs - history.mAnsweredMs < EXONERATION_MS;
    }

    /** Returns whether and where the request may run. */
    public Decision decisionFor(RequestDigest request, long nowMs) {
        History history = find(request);
        if (history == null || history.isExpired(nowMs, mRetentionMs)) {
            return Decision.UNRESTRICTED;
        }
        if (history.isRefused(mMaxCrashes)) {
            return Decision.REFUSED;
        }
        return history.mCrashes.isEmpty() ? Decision.UNRESTRICTED : Decision.EXCLUSIVE;
    }

    /** Returns the number of tracked requests; unlike the rest, may be called from any thread. */
    public int size() {
        return mSize;
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

        private final List<CrashRecord.Crash> mCrashes = new ArrayList<>();

        /** Crashes that no longer count; a report of one that is still under way is not new. */
        private final List<CrashRecord.Crash> mClearedCrashes = new ArrayList<>();

        private boolean mRanAlone;
        private long mUpdatedMs = NEVER_MS;
        private long mAnsweredMs = NEVER_MS;

        boolean isRefused(int maxCrashes) {
            return mRanAlone || mCrashes.size() >= maxCrashes;
        }

        /**
         * Records a crash report and returns whether it is new; copies may run in the same crash.
         */
        boolean addCrash(PeerMessage.CrashReport report, long nowMs, int maxCrashes) {
            boolean provesCause = report.alone() && !isRefused(maxCrashes);
            mUpdatedMs = nowMs;
            mRanAlone |= report.alone();
            boolean isNewCrash =
                    add(new CrashRecord.Crash(report.endpoint(), report.atMs()), maxCrashes);
            return isNewCrash || provesCause;
        }

        private boolean add(CrashRecord.Crash crash, int maxCrashes) {
            boolean isNew =
                    mCrashes.size() < maxCrashes
                            && mCrashes.stream().noneMatch(crash::isSameAs)
                            && mClearedCrashes.stream().noneMatch(crash::isSameAs);
            if (isNew) {
                mCrashes.add(crash);
            }
            return isNew;
        }

        void recordAnswer(long nowMs) {
            mAnsweredMs = nowMs;
            if (!mRanAlone) {
                clear(List.copyOf(mCrashes));
            }
        }

        private void clear(List<CrashRecord.Crash> crashes) {
            for (CrashRecord.Crash crash : crashes) {
                mCrashes.removeIf(crash::isSameAs);
                if (mClearedCrashes.stream().noneMatch(crash::isSameAs)) {
                    mClearedCrashes.add(crash);
                }
            }
            int excess = Math.max(0, mClearedCrashes.size() - MAX_CLEARED_CRASHES);
            mClearedCrashes.subList(0, excess).clear();
        }

        void merge(CrashRecord crashRecord, long nowMs, int maxCrashes) {
            mUpdatedMs = Math.max(mUpdatedMs, nowMs - crashRecord.ageMs());
            if (crashRecord.answeredAgeMs() >= 0) {
                mAnsweredMs = Math.max(mAnsweredMs, nowMs - crashRecord.answeredAgeMs());
            }
            mRanAlone |= crashRecord.ranAlone();
            clear(crashRecord.cleared());
            crashRecord.crashes().forEach(crash -> add(crash, maxCrashes));
        }

        CrashRecord toRecord(RequestDigest request, long nowMs) {
            return new CrashRecord(
                    request.account(),
                    request.bodySha256(),
                    List.copyOf(mCrashes),
                    List.copyOf(mClearedCrashes),
                    mRanAlone,
                    nowMs - mUpdatedMs,
                    mAnsweredMs == NEVER_MS ? NEVER_ANSWERED : nowMs - mAnsweredMs);
        }

        boolean isExpired(long nowMs, long retentionMs) {
            return nowMs - mUpdatedMs > retentionMs;
        }
    }
}
