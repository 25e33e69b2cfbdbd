package org.filbertrudder.policy.retry;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.model.message.PeerMessage;

/**
 * Remembers requests that were running when an endpoint crashed.
 *
 * <p>A request that ran alone at a crash is the culprit. One that shared the endpoint is a suspect:
 * it may run again only alone, so that the next crash convicts nobody else.
 */
public final class SuspectRequests {

    private final int mCapacity;
    private final long mRetentionMs;
    private final LinkedHashMap<RequestDigest, Record> mRecords = new LinkedHashMap<>();

    /** Creates a memory for a number of requests, each kept for a time in milliseconds. */
    public SuspectRequests(int capacity, long retentionMs) {
        mCapacity = capacity;
        mRetentionMs = retentionMs;
    }

    /** Notes a crash and returns whether it was news; one that is reported twice counts once. */
    public boolean note(PeerMessage.CrashReport report, long nowMs) {
        RequestDigest request = new RequestDigest(report.account(), report.bodySha256());
        Record record = mRecords.remove(request);
        if (record == null || record.expired(nowMs, mRetentionMs)) {
            record = new Record();
        }
        boolean news = record.note(report, nowMs);
        mRecords.put(request, record);
        if (mRecords.size() > mCapacity) {
            mRecords.remove(mRecords.keySet().iterator().next());
        }
        return news;
    }

    /** Clears a request that has run to its end. */
    public void clear(RequestDigest request) {
        mRecords.remove(request);
    }

    /** Returns how the request may run. */
    public Verdict verdict(RequestDigest request, long nowMs) {
        Record record = mRecords.get(request);
        if (record == null || record.expired(nowMs, mRetentionMs)) {
            return Verdict.FREE;
        }
        return record.mGuilty ? Verdict.REFUSE : Verdict.ALONE;
    }

    /** Returns the number of requests remembered. */
    public int size() {
        return mRecords.size();
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
    private static final class Record {

        private final Set<String> mEvents = new HashSet<>();
        private boolean mGuilty;
        private long mUpdatedMs;

        boolean note(PeerMessage.CrashReport report, long nowMs) {
            mUpdatedMs = nowMs;
            boolean news = mEvents.add(report.eventId());
            mGuilty |= report.alone() || mEvents.size() >= 2;
            return news;
        }

        boolean expired(long nowMs, long retentionMs) {
            return nowMs - mUpdatedMs > retentionMs;
        }
    }

    /** Returns the digests and verdicts, for the state dump. */
    public Map<RequestDigest, Verdict> verdicts(long nowMs) {
        Map<RequestDigest, Verdict> verdicts = new LinkedHashMap<>();
        mRecords.keySet().forEach(request -> verdicts.put(request, verdict(request, nowMs)));
        return verdicts;
    }
}
