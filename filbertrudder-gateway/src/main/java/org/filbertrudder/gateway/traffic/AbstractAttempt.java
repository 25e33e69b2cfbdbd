package org.filbertrudder.gateway.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.Map;
import org.filbertrudder.gateway.config.RouteRule;
import org.filbertrudder.gateway.control.Clocks;

/** Follows one attempt and passes its answer on. */
abstract class AbstractAttempt implements Attempt, AttemptListener {

    /** A repeatable request without an answer after so many goals is tried elsewhere. */
    private static final long STALL_TIMEOUT_GOALS = 2;

    /**
     * A repeatable answer that pauses for so many times the longest pause in time goes on
     * elsewhere; callers give up after eight. An engine that preempts a request pauses for a few.
     */
    private static final long STALL_TIMEOUT_PAUSES = 6;

    private static final long MIN_STALL_TIMEOUT_MS = 1_000;

    /** Answers up to this length are passed on only when they are whole, in bytes. */
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;

    /**
     * A plain answer that grows by less than this within the stall time has stalled, in bytes. A
     * stream has stalled without another whole event.
     */
    private static final int MIN_PROGRESS_BYTES = 256;

    final AttemptRunner mRunner;
    final AttemptDependencies mDependencies;
    final GatewayExchange mExchange;
    private AnswerHead mHead;
    private Buffer mBody = Buffer.buffer();
    private boolean mStreaming;
    private boolean mPassingThrough;
    private long mStallTimer = -1;
    private long mLastProgressMs;
    private boolean mPaused;
    private int mBytesSinceProgress;
    boolean mFinished;

    AbstractAttempt(AttemptRunner runner, GatewayExchange exchange) {
        mRunner = runner;
        mDependencies = runner.dependencies();
        mExchange = exchange;
    }

    /** Ends this attempt's use of the endpoint or region. */
    abstract void release(boolean answered);

    /** Closes the connection that carries the attempt. */
    abstract void abort();

    /** Notes an endpoint that has certainly not run the request. */
    abstract void noteNotExecuted(AnswerHead head);

    /** Notes an attempt whose connection was not opened or broke. */
    abstract void noteConnectionFailure(Failure failure);

    /** Notes an attempt without an answer for a long time. */
    abstract void noteStall();

    /** Begins to watch for an answer that does not come or does not go on. */
    void watchForStall() {
        mLastProgressMs = Clocks.steadyMs();
        if (mExchange.route().isRepeatable()) {
            scheduleStallCheck(stallTimeoutMs());
        }
    }

    private void scheduleStallCheck(long delayMs) {
        mStallTimer = mDependencies.vertx().setTimer(Math.max(1, delayMs), ignored -> checkStall());
    }

    private long stallTimeoutMs() {
        RouteRule route = mExchange.route();
        long pauseTimeoutMs = STALL_TIMEOUT_PAUSES * route.pauseGoalMs();
        long timeoutMs =
                mStreaming && pauseTimeoutMs > 0
                        ? pauseTimeoutMs
                        : STALL_TIMEOUT_GOALS * route.goalMs();
        return Math.max(MIN_STALL_TIMEOUT_MS, timeoutMs);
    }

    private void checkStall() {
        long nowMs = Clocks.steadyMs();
        if (mFinished || mPassingThrough || mExchange.deadlineMs() - nowMs < MIN_STALL_TIMEOUT_MS) {
            return;
        }
        long leftMs = mPaused ? stallTimeoutMs() : mLastProgressMs + stallTimeoutMs() - nowMs;
        if (leftMs > 0) {
            scheduleStallCheck(leftMs);
        } else if (mExchange.mayRunAgain()) {
            retryAfterStall();
        } else {
            noteStall();
        }
    }

    private void retryAfterStall() {
        mExchange.trace("stalled");
        finish(false);
        abort();
        noteStall();
        mRunner.retryOrGiveUp(mExchange, Refusal.incompleteResponse());
    }

    void finish(boolean answered) {
        if (!mFinished) {
            mFinished = true;
            mDependencies.vertx().cancelTimer(mStallTimer);
            mExchange.setAttempt(null);
            release(answered);
        }
    }

    @Override
    public void cancel() {
        if (!mFinished) {
            finish(false);
            abort();
        }
    }

    @Override
    public void head(AnswerHead head) {
        mHead = head;
        mLastProgressMs = Clocks.steadyMs();
        if (head.notRun() || !head.isSuccess() || !mExchange.isStream()) {
            return;
        }
        if (!head.signed() || head.encoded()) {
            rejectResponse("unsigned");
            return;
        }
        startStream(head);
    }

    private void startStream(AnswerHead head) {
        mStreaming = true;
        if (mExchange.relay() == null) {
            mExchange.setRelay(new StreamRelay(mExchange.sink(), mExchange.head().lastEventId()));
            Map<String, String> headers = head.passedHeaders();
            headers.remove("content-length");
            mExchange.sink().head(head.status(), headers);
        } else {
            resumeStream(head);
        }
    }

    /** Goes on with a stream whose first events were sent from here or another instance. */
    private void resumeStream(AnswerHead head) {
        mExchange.relay().restart();
        if (!mExchange.sink().headSent()) {
            mExchange.sink().head(head.status(), head.passedHeaders());
        }
    }

    @Override
    public void data(Buffer data) {
        if (mFinished) {
            return;
        }
        if (mHead == null) {
            rejectResponse("no-head");
            return;
        }
        if (!(mStreaming ? relayEvents(data) : relayOrBufferBytes(data))) {
            return;
        }
        if (mExchange.sink().full()) {
            mPaused = true;
            pause();
            mExchange.sink().onDrain(this::onSinkDrained);
        }
    }

    /** Passes events on; returns whether the attempt goes on. */
    private boolean relayEvents(Buffer data) {
        StreamRelay relay = mExchange.relay();
        long previousEvents = relay.events();
        noteStreamData();
        if (!relay.receive(data)) {
            rejectResponse("odd-events");
            return false;
        }
        if (relay.events() > previousEvents) {
            mLastProgressMs = Clocks.steadyMs();
        }
        return true;
    }

    /** Passes the bytes of a plain answer on or holds them; returns whether the attempt goes on. */
    private boolean relayOrBufferBytes(Buffer data) {
        mBytesSinceProgress += data.length();
        if (mBytesSinceProgress >= MIN_PROGRESS_BYTES) {
            mBytesSinceProgress = 0;
            mLastProgressMs = Clocks.steadyMs();
        }
        if (mPassingThrough) {
            mExchange.sink().write(data);
            return true;
        }
        mBody.appendBuffer(data);
        passThroughIfLarge();
        if (!mPassingThrough && mBody.length() > MAX_BUFFERED_BYTES) {
            rejectResponse("too-long");
            return false;
        }
        return true;
    }

    private void onSinkDrained() {
        mPaused = false;
        mLastProgressMs = Clocks.steadyMs();
        resume();
    }

    /** Passes a long answer on as it comes instead of holding it until it is whole. */
    private void passThroughIfLarge() {
        boolean authentic = mHead.isSuccess() && mHead.signed() && !mHead.encoded();
        if (mBody.length() > MAX_BUFFERED_BYTES && authentic) {
            mPassingThrough = true;
            mExchange.sink().head(mHead.status(), mHead.passedHeaders());
            mExchange.sink().write(mBody);
            mBody = Buffer.buffer();
        }
    }

    /** Notes the first token of a stream. */
    void noteStreamData() {}

    /** Ends an attempt whose answer cannot be the endpoint's own. */
    private void rejectResponse(String step) {
        mExchange.trace(step);
        finish(false);
        abort();
        retryOrBreakOff();
    }

    @Override
    public void end() {
        if (mFinished) {
            return;
        }
        if (mHead.notRun()) {
            mExchange.uncountRun();
            finish(false);
            noteNotExecuted(mHead);
            mRunner.retryOrGiveUp(mExchange, Refusal.unavailable());
        } else if (mStreaming) {
            endStream();
        } else {
            endBuffered();
        }
    }

    private void endStream() {
        if (!mExchange.relay().isAtEventBoundary()) {
            rejectResponse("cut-event");
            return;
        }
        finish(true);
        mExchange.sink().end();
        mDependencies.finisher().answered(mExchange, mHead.status());
    }

    private void endBuffered() {
        boolean authentic = mHead.signed() && !mHead.encoded();
        if (mHead.isSuccess() && !authentic) {
            rejectResponse("unsigned");
            return;
        }
        if (!mPassingThrough && mExchange.sink().headSent()) {
            // A stream that has begun was to go on here; a plain answer cannot follow its events.
            mExchange.trace("status-" + mHead.status());
            finish(false);
            retryOrBreakOff();
            return;
        }
        if (mHead.isServerError() && mayRetryServerError()) {
            mExchange.trace("status-" + mHead.status());
            if (mHead.signed()) {
                mExchange.holdErrorResponse(new BufferedResponse(mHead, mBody));
            }
            finish(false);
            mRunner.retryOrGiveUp(mExchange, Refusal.incompleteResponse());
            return;
        }
        finish(true);
        if (impliesNotExecuted()) {
            mRunner.giveUp(mExchange, Refusal.incompleteResponse());
            return;
        }
        if (mPassingThrough) {
            mExchange.sink().end();
        } else {
            new BufferedResponse(mHead, mBody).sendTo(mExchange.sink());
        }
        mDependencies.finisher().answered(mExchange, mHead.status());
    }

    /** Returns whether a status promises that the request has not run although it may have. */
    private boolean impliesNotExecuted() {
        int status = mHead.status();
        boolean notExecutedStatus =
                status == 429 || status == 503 || status == 408 || status == 421;
        return notExecutedStatus && !mExchange.route().isRepeatable();
    }

    private boolean mayRetryServerError() {
        return !mPassingThrough
                && !mExchange.sink().headSent()
                && mExchange.mayRunAgain()
                && mDependencies
                        .retryBudgets()
                        .hasRoom(
                                mExchange.service(),
                                mDependencies.control().snapshot().runningCount());
    }

    @Override
    public void failed(Failure failure) {
        if (mFinished) {
            return;
        }
        mExchange.trace(failure == Failure.NOT_SENT ? "unreachable" : "lost");
        if (failure == Failure.NOT_SENT) {
            mExchange.uncountRun();
        }
        finish(false);
        noteConnectionFailure(failure);
        retryOrBreakOff();
    }

    private void retryOrBreakOff() {
        if (mPassingThrough) {
            mDependencies.finisher().breakOff(mExchange);
        } else {
            mRunner.retryOrGiveUp(
                    mExchange,
                    mExchange.runs() == 0 ? Refusal.unavailable() : Refusal.incompleteResponse());
        }
    }
}
