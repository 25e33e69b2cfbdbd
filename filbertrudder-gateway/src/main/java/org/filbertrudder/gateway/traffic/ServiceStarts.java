package org.filbertrudder.gateway.traffic;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.control.GatewaySnapshot;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.StartRecords;
import org.filbertrudder.policy.routing.PromptDemand;

/** Holds the requests of one service that wait for the decision of its scheduler. */
final class ServiceStarts {

    private static final ComponentLogger LOG = ComponentLogger.of("scheduling");

    /** The minimum interval between two messages with requests, in milliseconds. */
    private static final long REQUESTS_INTERVAL_MS = 5;

    /** The time without any answer after which requests are routed here, in milliseconds. */
    private static final long LOCAL_AFTER_MS = 1_200;

    /** The time for which requests are routed here after that, in milliseconds. */
    private static final long LOCAL_DURATION_MS = 2_000;

    /** The interval at which a preferred scheduler is asked for an answer again, in ms. */
    private static final long PROBE_INTERVAL_MS = 1_000;

    /**
     * The time after a request's latest start for which a decision is awaited, in milliseconds; the
     * scheduler refuses such a request itself in its next pass.
     */
    private static final long EXPIRY_SLACK_MS = 100;

    private static final long TICK_MS = 100;

    private final ServiceId mService;
    private final StartContext mContext;
    private final StartNetwork mNetwork;
    private final SchedulerChoice mScheduler;
    private final StartReportBatch mReports;
    private final DecisionExecutor mExecutor;
    private final Map<Long, WaitingStart> mWaiting = new LinkedHashMap<>();
    private final Map<GatewayExchange, WaitingStart> mByExchange = new HashMap<>();
    private final Map<GatewayExchange, Long> mRejected = new HashMap<>();
    private List<WaitingStart> mUnsent = new ArrayList<>();
    private boolean mSendScheduled;
    private WaitingStart mStarting;
    private long mNextNumber = new SecureRandom().nextLong(1, 1L << 48);
    private long mLastSentMs = Long.MIN_VALUE / 2;
    private long mLastAnswerMs = Long.MIN_VALUE / 2;
    private long mLocalUntilMs = Long.MIN_VALUE / 2;
    private long mResumedMs = Long.MIN_VALUE / 2;
    private long mNextProbeMs;
    private long mLastTickMs = Long.MIN_VALUE / 2;

    ServiceStarts(ServiceId service, StartContext context, StartNetwork network) {
        mService = service;
        mContext = context;
        mNetwork = network;
        mScheduler = new SchedulerChoice(service);
        mReports = new StartReportBatch(service, context, network, mScheduler);
        mExecutor = new DecisionExecutor(service, context);
    }

    /** Lets the request wait for the scheduler; returns false if it is to be routed here. */
    boolean submit(GatewayExchange exchange) {
        long nowMs = mContext.nowMs();
        updateScheduler(nowMs);
        if (nowMs < mLocalUntilMs || mScheduler.current().isEmpty()) {
            mContext.metrics().countRoutedWithoutScheduler(mService);
            return false;
        }
        if (mWaiting.isEmpty()) {
            mScheduler.expect(nowMs);
        }
        WaitingStart waiting = new WaitingStart(takeNumber(exchange), exchange, nowMs);
        mWaiting.put(waiting.number(), waiting);
        mByExchange.put(exchange, waiting);
        exchange.setQueued(true);
        mUnsent.add(waiting);
        scheduleSend();
        return true;
    }

    /**
     * Returns the number of a start that was not used, with which the scheduler keeps its place.
     */
    private long takeNumber(GatewayExchange exchange) {
        if (mStarting != null && mStarting.exchange() == exchange) {
            long number = mStarting.number();
            mStarting = null;
            return number;
        }
        Long rejected = mRejected.remove(exchange);
        return rejected == null ? mNextNumber++ : rejected;
    }

    /** Records that an endpoint has not executed a request, which may be submitted again. */
    void rejected(GatewayExchange exchange, long number) {
        mReports.rejected(number);
        if (!exchange.ended()) {
            mRejected.put(exchange, number);
            exchange.onEnd(() -> mRejected.remove(exchange));
        }
    }

    /** Removes a request that has ended; returns false if it does not wait. */
    boolean remove(GatewayExchange exchange) {
        WaitingStart waiting = mByExchange.get(exchange);
        if (waiting == null) {
            return false;
        }
        withdraw(waiting);
        return true;
    }

    /** Returns the number of waiting requests. */
    int waiting() {
        return mWaiting.size();
    }

    /** Ends the wait of a request and tells the scheduler that it no longer waits. */
    private void withdraw(WaitingStart waiting) {
        take(waiting);
        if (!mUnsent.remove(waiting)) {
            mReports.cancelled(waiting.number());
        }
    }

    private void take(WaitingStart waiting) {
        mWaiting.remove(waiting.number());
        mByExchange.remove(waiting.exchange());
        waiting.exchange().setQueued(false);
    }

    private void scheduleSend() {
        if (!mSendScheduled) {
            mSendScheduled = true;
            long delayMs = Math.max(1, mLastSentMs + REQUESTS_INTERVAL_MS - mContext.nowMs());
            mContext.timers().runAfter(delayMs, this::sendRequests);
        }
    }

    private void sendRequests() {
        mSendScheduled = false;
        Optional<Member> scheduler = mScheduler.current();
        if (mUnsent.isEmpty() || scheduler.isEmpty()) {
            return;
        }
        long nowMs = mContext.nowMs();
        mLastSentMs = nowMs;
        List<StartRecords.Request> records = new ArrayList<>(mUnsent.size());
        List<WaitingStart> withoutRegion = new ArrayList<>();
        for (WaitingStart waiting : mUnsent) {
            mExecutor
                    .record(waiting, nowMs)
                    .ifPresentOrElse(records::add, () -> withoutRegion.add(waiting));
        }
        mUnsent = new ArrayList<>(withoutRegion);
        if (!records.isEmpty()) {
            mReports.sendBeforeRequests(scheduler.get());
            mNetwork.send(scheduler.get(), new PeerMessage.StartRequests(mService, records));
        }
        withoutRegion.forEach(this::routeHere);
    }

    /** Handles decisions, also of an instance that is no longer asked. */
    void handle(Member from, List<StartRecords.Decision> decisions) {
        long nowMs = mContext.nowMs();
        mLastAnswerMs = nowMs;
        if (!mScheduler.isCurrent(from.id())) {
            rejectDecisions(from, decisions);
            if (isPreferredElsewhere(from.id())) {
                Member former = mScheduler.current().orElseThrow();
                mScheduler.returnToPreferred(nowMs);
                changeScheduler(Optional.of(former));
            }
            return;
        }
        mScheduler.heard(nowMs);
        for (StartRecords.Decision decision : decisions) {
            if (StartConversion.isValid(decision)) {
                apply(from.id(), decision);
            } else {
                LOG.warn("A malformed decision is ignored.", LogField.of("from", from.id()));
            }
        }
    }

    private boolean isPreferredElsewhere(InstanceId id) {
        return mScheduler.preferredElsewhere().filter(member -> member.id().equals(id)).isPresent();
    }

    /** Tells an instance that is not asked that its decisions are not carried out. */
    private void rejectDecisions(Member from, List<StartRecords.Decision> decisions) {
        List<Long> numbers = new ArrayList<>();
        for (StartRecords.Decision decision : decisions) {
            if (decision != null) {
                numbers.add(decision.number());
            }
        }
        if (!numbers.isEmpty()) {
            sendCancelled(from, numbers);
        }
    }

    private void sendCancelled(Member to, List<Long> numbers) {
        mNetwork.send(
                to,
                new PeerMessage.StartReport(
                        mService, false, null, null, null, null, numbers, null, null));
    }

    private void apply(InstanceId scheduler, StartRecords.Decision decision) {
        WaitingStart waiting = mWaiting.get(decision.number());
        if (waiting == null) {
            if (!mReports.isOpen(decision.number())) {
                mReports.cancelled(decision.number());
            }
            return;
        }
        take(waiting);
        mUnsent.remove(waiting);
        mStarting = waiting;
        mContext.runStep(
                waiting.exchange(),
                () -> mExecutor.execute(waiting.exchange(), scheduler, decision));
        if (mStarting == waiting && decision.kind() == StartRecords.Kind.START) {
            mReports.cancelled(waiting.number());
        }
        mStarting = null;
    }

    /** Registers an attempt at an endpoint, whether the scheduler has decided on it or not. */
    StartedRequest claim(GatewayExchange exchange, EndpointId endpoint, PromptDemand prompt) {
        boolean decided = mStarting != null && mStarting.exchange() == exchange;
        long number = decided ? mStarting.number() : mNextNumber++;
        if (decided) {
            mStarting = null;
        }
        mReports.opened(number, endpoint, prompt, exchange.deadlineMs());
        return new StartedRequest(mReports, number, () -> rejected(exchange, number));
    }

    /** Handles a lost connection to an instance, or one that could not be opened. */
    void connectionLost(InstanceId id) {
        mReports.requireFull();
        if (mScheduler.isCurrent(id) && (!mWaiting.isEmpty() || mReports.hasOpen())) {
            askNext();
        }
    }

    private void askNext() {
        Optional<Member> former = mScheduler.current();
        if (mScheduler.askNext(mContext.nowMs())) {
            changeScheduler(former);
        } else if (!mWaiting.isEmpty()) {
            routeHere();
        }
    }

    /** Tells the former scheduler that no request waits for it, and sends all to the new one. */
    private void changeScheduler(Optional<Member> former) {
        mContext.metrics().countSchedulerChange(mService);
        LOG.info(
                "Another instance is asked for starts.",
                LogField.of("service", mService),
                LogField.of("former", former.map(Member::id).orElse(null)),
                LogField.of("scheduler", mScheduler.current().map(Member::id).orElse(null)),
                LogField.of("waiting", mWaiting.size()));
        if (former.isPresent() && !mWaiting.isEmpty()) {
            sendCancelled(former.get(), List.copyOf(mWaiting.keySet()));
        }
        mReports.requireFull();
        mUnsent = new ArrayList<>(mWaiting.values());
        if (mScheduler.current().isEmpty()) {
            routeHere();
        } else if (!mWaiting.isEmpty()) {
            sendRequests();
        }
    }

    /** Routes all waiting requests without a scheduler, and those that arrive for a while. */
    private void routeHere() {
        mLocalUntilMs = mContext.nowMs() + LOCAL_DURATION_MS;
        LOG.warn(
                "No scheduler answers; requests are routed without one.",
                LogField.of("service", mService),
                LogField.of("waiting", mWaiting.size()));
        List.copyOf(mWaiting.values()).forEach(this::routeHere);
    }

    private void routeHere(WaitingStart waiting) {
        if (mWaiting.containsKey(waiting.number())) {
            withdraw(waiting);
            mContext.metrics().countRoutedWithoutScheduler(mService);
            mContext.runStep(
                    waiting.exchange(),
                    () -> mContext.unscheduledRouter().accept(waiting.exchange()));
        }
    }

    private void updateScheduler(long nowMs) {
        GatewaySnapshot snapshot = mContext.snapshot().get();
        Optional<Member> former = mScheduler.current();
        if (mScheduler.update(snapshot, nowMs) && former.isPresent()) {
            changeScheduler(former);
        }
    }

    /** Checks the scheduler and the waiting requests, and sends the periodic reports. */
    void tick() {
        long nowMs = mContext.nowMs();
        long heldUpMs = Math.max(0, nowMs - mLastTickMs - TICK_MS);
        if (mLastTickMs > 0) {
            mScheduler.exclude(heldUpMs);
            // Answers that came while this instance was held up have not been read yet.
            mResumedMs = heldUpMs > TICK_MS ? nowMs : mResumedMs;
        }
        mLastTickMs = nowMs;
        updateScheduler(nowMs);
        if (!mWaiting.isEmpty()) {
            checkSilence(nowMs);
            refuseExpired(nowMs);
        }
        probePreferred(nowMs);
        mReports.tick(!mWaiting.isEmpty(), nowMs);
    }

    private void checkSilence(long nowMs) {
        long oldestMs = mWaiting.values().iterator().next().submittedMs();
        long unansweredSinceMs = Math.max(mResumedMs, Math.max(oldestMs, mLastAnswerMs));
        if (nowMs - unansweredSinceMs >= LOCAL_AFTER_MS) {
            routeHere();
        } else if (mScheduler.isSilent(nowMs)) {
            Optional<Member> silent = mScheduler.current();
            askNext();
            silent.ifPresent(mNetwork::disconnect);
        }
    }

    private void refuseExpired(long nowMs) {
        for (WaitingStart waiting : List.copyOf(mWaiting.values())) {
            GatewayExchange exchange = waiting.exchange();
            boolean expired = nowMs >= waiting.latestStartMs() + EXPIRY_SLACK_MS;
            boolean awaited = nowMs >= waiting.submittedMs() + EXPIRY_SLACK_MS;
            if (expired && awaited && mWaiting.containsKey(waiting.number())) {
                withdraw(waiting);
                mContext.runStep(exchange, () -> mExecutor.refuseExpired(exchange));
            }
        }
    }

    /** Asks the preferred scheduler for an answer while another one is asked for starts. */
    private void probePreferred(long nowMs) {
        if (nowMs < mNextProbeMs) {
            return;
        }
        mNextProbeMs = nowMs + PROBE_INTERVAL_MS;
        mScheduler
                .preferredElsewhere()
                .ifPresent(
                        preferred ->
                                mNetwork.send(
                                        preferred,
                                        new PeerMessage.StartRequests(mService, List.of())));
    }

    /**
     * Describes a request that waits for a decision.
     *
     * @param number identifies the request for the scheduler
     * @param exchange the request
     * @param submittedMs when it began to wait
     */
    record WaitingStart(long number, GatewayExchange exchange, long submittedMs) {

        /** Returns the latest time at which the request may start. */
        long latestStartMs() {
            return exchange.latestScheduledStartMs(submittedMs);
        }
    }
}
