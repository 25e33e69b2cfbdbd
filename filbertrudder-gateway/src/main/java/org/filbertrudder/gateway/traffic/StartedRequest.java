package org.filbertrudder.gateway.traffic;

import org.filbertrudder.model.EndpointId;

/** Reports the progress of an attempt at an endpoint to the scheduler of its service, if any. */
final class StartedRequest {

    /** Stands for an attempt of a service that is not scheduled. */
    static final StartedRequest UNSCHEDULED = new StartedRequest(null, 0, () -> {});

    private final StartReportBatch mReports;
    private final long mNumber;
    private final Runnable mOnRejected;
    private boolean mEnded;

    /**
     * Creates the reports of an attempt.
     *
     * @param onRejected runs if the endpoint has not executed the request
     */
    StartedRequest(StartReportBatch reports, long number, Runnable onRejected) {
        mReports = reports;
        mOnRejected = onRejected;
        mNumber = number;
    }

    /** Records the first data of the response stream. */
    void begun() {
        if (mReports != null && !mEnded) {
            mReports.begun(mNumber);
        }
    }

    /**
     * Records the end of the attempt.
     *
     * @param events the number of events of a complete response; 0 if it is incomplete
     */
    void ended(long events) {
        if (end()) {
            mReports.ended(mNumber, events);
        }
    }

    /** Records that the endpoint has not executed the request. */
    void rejected() {
        if (end()) {
            mOnRejected.run();
        }
    }

    /** Records that the request has not been sent. */
    void cancelled() {
        if (end()) {
            mReports.cancelled(mNumber);
        }
    }

    /** Records what the endpoint states about its load. */
    void stated(EndpointId endpoint, LoadStatement statement) {
        if (mReports != null) {
            mReports.stated(endpoint, statement);
        }
    }

    private boolean end() {
        boolean first = mReports != null && !mEnded;
        mEnded = true;
        return first;
    }
}
