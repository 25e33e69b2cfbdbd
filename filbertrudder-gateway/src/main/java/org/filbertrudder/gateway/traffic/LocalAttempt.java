package org.filbertrudder.gateway.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.filbertrudder.gateway.config.AccountRule;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.policy.crashes.SentParts;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.PromptDemand;
import org.filbertrudder.policy.routing.PromptLoad;

/** Runs a request at an endpoint of this region. */
final class LocalAttempt extends AbstractAttempt {

    /**
     * A request that is lost sooner on a connection that was used before may have met a connection
     * that the endpoint had closed while it was idle, in milliseconds.
     */
    private static final long IDLE_CLOSE_DETECTION_MS = 50;

    private final EndpointState mEndpoint;
    private EndpointConnection mConnection;
    private long mBodyBytes;
    private long mSentMs;
    private boolean mFirstDataReceived;
    private boolean mResumed;
    private boolean mRejected;
    private long mEvents;
    private StartedRequest mStarted = StartedRequest.UNSCHEDULED;
    private SentParts mSentParts = SentParts.NONE;
    private Optional<PromptLoad> mPromptLoad = Optional.empty();

    LocalAttempt(GatewayAttemptRunner runner, GatewayExchange exchange, EndpointState endpoint) {
        super(runner, exchange);
        mEndpoint = endpoint;
    }

    void start() {
        long nowMs = Clocks.steadyMs();
        mExchange.triedEndpoints().add(mEndpoint.id());
        mExchange.trace("to=" + mEndpoint.id() + "@" + (nowMs - mExchange.arrivedMs()));
        mExchange.head().promptDemand().ifPresent(prompt -> traceEngineState(prompt, nowMs));
        mExchange.setAttempt(this);
        mExchange.countSend();
        mResumed = mExchange.lastEventId() > 0;
        mStarted = mDependencies.starts().claim(mExchange, mEndpoint.id());
        mEndpoint.requestStarted(false, nowMs);
        mBodyBytes = mExchange.body().length();
        mEndpoint.bodyStarted(mBodyBytes);
        mPromptLoad =
                mExchange
                        .head()
                        .promptDemand()
                        .map(
                                prompt ->
                                        mEndpoint.addPromptLoad(
                                                prompt, mExchange.deadlineMs(), nowMs));
        watchForStall();
        mDependencies
                .connections()
                .acquire(
                        mEndpoint.endpoint(),
                        mExchange.head().requestId(),
                        mExchange.route().isRepeatable(),
                        connection -> runStep(() -> onConnection(connection)));
    }

    /** Adds the engine's estimated state at the time of the choice to the trace. */
    private void traceEngineState(PromptDemand prompt, long nowMs) {
        mExchange.trace(
                "uncached="
                        + mEndpoint.uncachedSharedTokens(prompt, nowMs)
                        + " backlogMs="
                        + Math.round(mEndpoint.prefillBacklogMs()));
    }

    private void onConnection(EndpointConnection connection) {
        if (mFinished) {
            if (connection != null) {
                mDependencies.connections().release(mEndpoint.endpoint(), connection);
            }
            return;
        }
        if (connection == null) {
            failed(Failure.NOT_SENT);
            return;
        }
        mConnection = connection;
        long remainingMs = mExchange.deadlineMs() - Clocks.steadyMs();
        if (remainingMs <= 0 || !mExchange.mayTrustState(mDependencies.control())) {
            withdraw(connection);
            mRunner.giveUp(
                    mExchange,
                    remainingMs <= 0
                            ? GatewayRefusal.timedOut(true)
                            : GatewayRefusal.stateOutdated());
            return;
        }
        if (!mExchange.mayRunIn(mEndpoint.endpoint().region())) {
            mExchange.trace("moved");
            withdraw(connection);
            mRunner.retryOrGiveUp(mExchange, GatewayRefusal.unavailable());
            return;
        }
        Optional<String> refusedPart = mDependencies.crashingParts().refusedPart(mExchange);
        if (refusedPart.isPresent()) {
            withdraw(connection);
            mRunner.giveUpBlocked(mExchange, refusedPart.get());
            return;
        }
        mSentParts = mDependencies.crashingParts().recordSend(mExchange);
        HttpHeaders headers = EndpointConnection.newHeaders();
        mExchange.head().passedHeaders().forEach(headers::set);
        mDependencies
                .protocol()
                .writeAttemptHeaders(
                        headers,
                        new AttemptMetadata(
                                mEndpoint.id(),
                                mExchange.account().map(AccountRule::id),
                                remainingMs,
                                mExchange.priority(),
                                mExchange.lastEventId()));
        noteSendState();
        mSentMs = Clocks.steadyMs();
        mDependencies.limits().noteSend(mEndpoint.id());
        connection.send(
                mExchange.head().requestId(),
                mExchange.method(),
                mExchange.uri(),
                headers,
                mExchange.body(),
                new StepListener(this, this::runStep),
                () -> mDependencies.connections().release(mEndpoint.endpoint(), connection));
    }

    /** Ends the attempt before its request is sent; the connection may carry another one. */
    private void withdraw(EndpointConnection connection) {
        mExchange.uncountRun();
        finish(false);
        mDependencies.connections().release(mEndpoint.endpoint(), connection);
    }

    @Override
    public void head(ResponseHead head) {
        mRejected = head.notRun();
        mDependencies.failureDetector().noteResponse(mEndpoint, head, mSentMs);
        mDependencies
                .limits()
                .noteResponse(mEndpoint.id(), head, mExchange.head().requestId(), mSentMs);
        if (head.isSuccess() || (head.isServerError() && !head.notRun())) {
            mEndpoint.recordOutcome(head.isServerError(), Clocks.steadyMs());
        }
        head.load().ifPresent(this::recordLoad);
        super.head(head);
    }

    private void recordLoad(LoadStatement load) {
        if (mExchange.head().promptDemand().isEmpty()) {
            long nowMs = Clocks.steadyMs();
            mEndpoint.recordLoadReport(load.requests(), nowMs);
            load.pacePercent().ifPresent(percent -> mEndpoint.recordPace(percent, nowMs));
        }
        mDependencies.starts().noteStatement(mExchange, load);
        mStarted.stated(mEndpoint.id(), load);
    }

    @Override
    void noteStreamData() {
        mDependencies.failureDetector().noteResponding(mEndpoint, mSentMs);
        if (!mFirstDataReceived) {
            mFirstDataReceived = true;
            mExchange.trace("first@" + (Clocks.steadyMs() - mExchange.arrivedMs()));
            mPromptLoad.ifPresent(PromptLoad::prefillFinished);
            mStarted.begun();
        }
    }

    @Override
    void noteEvents(int count) {
        mEvents += count;
        mPromptLoad.ifPresent(load -> load.eventsReceived(count, Clocks.steadyMs()));
    }

    @Override
    void noteAnswerBegun() {
        mDependencies.crashingParts().recordAnswer(mSentParts, mExchange.head().requestId());
    }

    @Override
    void noteCutEvent() {
        noteInterruption();
    }

    @Override
    void release(boolean answered) {
        mEndpoint.bodyEnded(mBodyBytes);
        if (answered) {
            // A resumed stream has only a part of the expected events.
            mPromptLoad.ifPresent(mResumed ? PromptLoad::release : PromptLoad::complete);
            mEndpoint.requestSucceeded();
        } else {
            mPromptLoad.ifPresent(PromptLoad::release);
            mEndpoint.requestEnded();
        }
        reportEnd(answered);
        mRunner.dispatcher().schedulePump(mExchange.service());
    }

    /** Tells the scheduler of the service, if any, what has become of the start. */
    private void reportEnd(boolean answered) {
        if (mSentMs == 0) {
            mStarted.cancelled();
        } else if (mRejected) {
            mStarted.rejected();
        } else {
            // A resumed stream has only a part of the expected events.
            mStarted.ended(answered && !mResumed ? mEvents : 0);
        }
    }

    @Override
    void abort() {
        if (mConnection != null) {
            mConnection.cancel();
        }
    }

    @Override
    void noteNotExecuted(ResponseHead head) {
        mExchange.trace("turned-away-" + head.status());
        mDependencies.failureDetector().noteNotExecuted(mEndpoint, head.status());
    }

    @Override
    void noteConnectionFailure(Failure failure) {
        mEndpoint.recordOutcome(true, Clocks.steadyMs());
        if (failure == Failure.NOT_SENT) {
            mDependencies.failureDetector().noteConnectionRefused(mEndpoint);
        } else {
            noteInterruption();
        }
    }

    /**
     * Reports the interrupted request. A request without an answer implicates the parts of its
     * prompt, before it is sent again.
     */
    private void noteInterruption() {
        InterruptedRequest request = interruptedRequest();
        if (!request.answerBegun() && !request.isAmbiguous()) {
            mDependencies.crashingParts().recordLoss(request);
        }
        mDependencies.failureDetector().probeAfterConnectionLoss(mEndpoint, request);
    }

    private InterruptedRequest interruptedRequest() {
        long runningMs = Clocks.steadyMs() - mSentMs;
        return new InterruptedRequest(
                mExchange.head().requestId(),
                mEndpoint.id(),
                mExchange.digest(),
                mExchange.head().promptDemand().map(PromptDemand::partIds).orElse("-"),
                mSentParts,
                runningMs,
                answerBegun(),
                mConnection.usedBefore() && runningMs < IDLE_CLOSE_DETECTION_MS);
    }

    @Override
    void noteStall() {
        mEndpoint.recordOutcome(true, Clocks.steadyMs());
        mDependencies.failureDetector().probeAfterStall(mEndpoint);
    }

    @Override
    public void pause() {
        if (mConnection != null) {
            mConnection.pause();
        }
    }

    @Override
    public void resume() {
        if (mConnection != null) {
            mConnection.resume();
        }
    }
}
