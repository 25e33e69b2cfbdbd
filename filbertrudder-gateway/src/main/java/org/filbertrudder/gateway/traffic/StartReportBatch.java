package org.filbertrudder.gateway.traffic;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.StartRecords;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.PromptDemand;

/** Collects what is reported to the scheduler of a service and sends it in batches. */
final class StartReportBatch {

    /** The delay of a report after the first event that it contains, in milliseconds. */
    private static final long DELAY_MS = 10;

    /** The minimum interval between two reports, in milliseconds. */
    private static final long INTERVAL_MS = 20;

    private static final long STREAMS_INTERVAL_MS = 250;
    private static final long FULL_INTERVAL_MS = 1_000;

    /** The age up to which a measured pace of streams is reported, in milliseconds. */
    private static final long STREAMS_MAX_AGE_MS = 500;

    private final ServiceId mService;
    private final StartContext mContext;
    private final StartNetwork mNetwork;
    private final SchedulerChoice mScheduler;
    private final Map<Long, Open> mOpen = new LinkedHashMap<>();
    private final Map<EndpointId, LoadStatement> mStatements = new LinkedHashMap<>();
    private List<Long> mBegun = new ArrayList<>();
    private List<StartRecords.Ended> mEnded = new ArrayList<>();
    private List<Long> mRejected = new ArrayList<>();
    private List<Long> mCancelled = new ArrayList<>();
    private boolean mScheduled;
    private boolean mFullDue = true;
    private boolean mOpenReported;
    private long mLastSentMs = Long.MIN_VALUE / 2;
    private long mNextStreamsMs;
    private long mNextFullMs;

    StartReportBatch(
            ServiceId service,
            StartContext context,
            StartNetwork network,
            SchedulerChoice scheduler) {
        mService = service;
        mContext = context;
        mNetwork = network;
        mScheduler = scheduler;
    }

    /** Adds a request that is sent to an endpoint. */
    void opened(long number, EndpointId endpoint, PromptDemand prompt, long deadlineMs) {
        mOpen.put(number, new Open(endpoint, prompt, deadlineMs));
    }

    /** Returns whether the request has been sent to an endpoint and has not ended. */
    boolean isOpen(long number) {
        return mOpen.containsKey(number);
    }

    /** Returns whether any request is open. */
    boolean hasOpen() {
        return !mOpen.isEmpty();
    }

    void begun(long number) {
        Open open = mOpen.get(number);
        if (open != null) {
            open.mBegun = true;
            mBegun.add(number);
            schedule();
        }
    }

    void ended(long number, long events) {
        mOpen.remove(number);
        mEnded.add(new StartRecords.Ended(number, events));
        schedule();
    }

    void rejected(long number) {
        mOpen.remove(number);
        mRejected.add(number);
        schedule();
    }

    void cancelled(long number) {
        mOpen.remove(number);
        mCancelled.add(number);
        schedule();
    }

    void stated(EndpointId endpoint, LoadStatement statement) {
        mStatements.put(endpoint, statement);
        schedule();
    }

    /** Lets the next report, which precedes all other messages, list all open requests. */
    void requireFull() {
        mFullDue = true;
    }

    private void schedule() {
        if (!mScheduled) {
            mScheduled = true;
            long delayMs = Math.max(DELAY_MS, mLastSentMs + INTERVAL_MS - mContext.nowMs());
            mContext.timers().runAfter(delayMs, this::sendScheduled);
        }
    }

    private void sendScheduled() {
        mScheduled = false;
        mScheduler.current().ifPresent(scheduler -> send(scheduler, mFullDue, false));
    }

    /**
     * Sends now what the scheduler must know before new requests: all open ones if it is new, and
     * starts that were not used, whose requests may be submitted again.
     */
    void sendBeforeRequests(Member scheduler) {
        if (mFullDue || !mRejected.isEmpty() || !mCancelled.isEmpty()) {
            send(scheduler, mFullDue, false);
        }
    }

    /**
     * Sends the periodic parts.
     *
     * @param waiting whether requests wait for the scheduler
     */
    void tick(boolean waiting, long nowMs) {
        boolean fullDue = nowMs >= mNextFullMs && (waiting || hasOpen() || mOpenReported);
        boolean streamsDue = nowMs >= mNextStreamsMs && hasOpen();
        if (!fullDue && !streamsDue) {
            return;
        }
        if (streamsDue) {
            mNextStreamsMs = nowMs + STREAMS_INTERVAL_MS;
        }
        mScheduler
                .current()
                .ifPresent(scheduler -> send(scheduler, fullDue || mFullDue, streamsDue));
    }

    private void send(Member scheduler, boolean full, boolean withStreams) {
        long nowMs = mContext.nowMs();
        PeerMessage.StartReport report =
                new PeerMessage.StartReport(
                        mService,
                        full,
                        full ? openRecords(nowMs) : List.of(),
                        mBegun,
                        mEnded,
                        mRejected,
                        mCancelled,
                        statements(),
                        withStreams ? streams(nowMs) : List.of());
        clear();
        mLastSentMs = nowMs;
        if (full) {
            mFullDue = false;
            mOpenReported = hasOpen();
            mNextFullMs = nowMs + FULL_INTERVAL_MS;
        }
        if (full || !isEmpty(report)) {
            mNetwork.send(scheduler, report);
        }
    }

    private static boolean isEmpty(PeerMessage.StartReport report) {
        return report.begun().isEmpty()
                && report.ended().isEmpty()
                && report.rejected().isEmpty()
                && report.cancelled().isEmpty()
                && report.statements().isEmpty()
                && report.streams().isEmpty();
    }

    private void clear() {
        mBegun = new ArrayList<>();
        mEnded = new ArrayList<>();
        mRejected = new ArrayList<>();
        mCancelled = new ArrayList<>();
        mStatements.clear();
    }

    private List<StartRecords.Open> openRecords(long nowMs) {
        List<StartRecords.Open> records = new ArrayList<>(mOpen.size());
        mOpen.forEach(
                (number, open) ->
                        records.add(
                                new StartRecords.Open(
                                        number,
                                        open.mEndpoint,
                                        StartConversion.record(open.mPrompt),
                                        open.mBegun,
                                        Math.max(0, open.mDeadlineMs - nowMs))));
        return records;
    }

    private List<StartRecords.Statement> statements() {
        List<StartRecords.Statement> records = new ArrayList<>(mStatements.size());
        mStatements.forEach(
                (endpoint, load) ->
                        records.add(
                                new StartRecords.Statement(
                                        endpoint,
                                        load.running(),
                                        load.waiting(),
                                        load.pacePercent().orElse(0))));
        return records;
    }

    private List<StartRecords.Streams> streams(long nowMs) {
        List<StartRecords.Streams> records = new ArrayList<>();
        for (EndpointState state :
                mContext.table()
                        .findByService(mService, mContext.snapshot().get().self().region())) {
            OptionalDouble msPerEvent = state.msPerEvent(STREAMS_MAX_AGE_MS, nowMs);
            if (state.inFlight() > 0 && msPerEvent.isPresent()) {
                records.add(
                        new StartRecords.Streams(
                                state.id(), msPerEvent.getAsDouble(), state.missingMs()));
            }
        }
        return records;
    }

    /** Holds a request that has been sent to an endpoint. */
    private static final class Open {

        private final EndpointId mEndpoint;
        private final PromptDemand mPrompt;
        private final long mDeadlineMs;
        private boolean mBegun;

        Open(EndpointId endpoint, PromptDemand prompt, long deadlineMs) {
            mEndpoint = endpoint;
            mPrompt = prompt;
            mDeadlineMs = deadlineMs;
        }
    }
}
