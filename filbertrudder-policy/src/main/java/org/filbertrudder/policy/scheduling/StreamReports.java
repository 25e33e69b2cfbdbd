package org.filbertrudder.policy.scheduling;

import java.util.HashMap;
import java.util.Map;
import org.filbertrudder.model.InstanceId;

/** Holds the latest report of each instance on its streams from one engine. */
final class StreamReports {

    /** The age from which on a report is not used, in milliseconds; reports come every 250 ms. */
    private static final long LIFETIME_MS = 1_500;

    private final Map<InstanceId, Report> mReports = new HashMap<>();
    private double mMsPerEvent;
    private double mMissingMs;
    private long mSummaryEndMs = Long.MAX_VALUE;

    /** Records a report; an instance without a measured pace states 0 ms per event. */
    void record(InstanceId from, double msPerEvent, double missingMs, long nowMs) {
        mReports.put(from, new Report(msPerEvent, missingMs, nowMs));
        summarize(nowMs);
    }

    /** Returns the mean pace in milliseconds per event; 0 if none has been reported recently. */
    double msPerEvent(long nowMs) {
        update(nowMs);
        return mMsPerEvent;
    }

    /** Returns the time that the stream with the least slack lacks, in milliseconds. */
    double missingMs(long nowMs) {
        update(nowMs);
        return mMissingMs;
    }

    private void update(long nowMs) {
        if (nowMs >= mSummaryEndMs) {
            summarize(nowMs);
        }
    }

    private void summarize(long nowMs) {
        mReports.values().removeIf(report -> nowMs - report.atMs() >= LIFETIME_MS);
        double sumMsPerEvent = 0;
        int paces = 0;
        mMissingMs = 0;
        mSummaryEndMs = Long.MAX_VALUE;
        for (Report report : mReports.values()) {
            if (report.msPerEvent() > 0) {
                sumMsPerEvent += report.msPerEvent();
                paces++;
            }
            mMissingMs = Math.max(mMissingMs, report.missingMs());
            mSummaryEndMs = Math.min(mSummaryEndMs, report.atMs() + LIFETIME_MS);
        }
        mMsPerEvent = paces > 0 ? sumMsPerEvent / paces : 0;
    }

    private record Report(double msPerEvent, double missingMs, long atMs) {}
}
