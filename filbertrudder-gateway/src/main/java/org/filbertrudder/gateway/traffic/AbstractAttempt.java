package org.filbertrudder.gateway.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.Map;
import org.filbertrudder.gateway.config.RouteRule;
import org.filbertrudder.gateway.control.Clocks;

/**
 * Handles the response of one attempt: relays or buffers it, watches for stalls, and retries or
 * ends the exchange afterwards.
 */
abstract class AbstractAttempt implements Attempt, AttemptListener {

    /**
     * A repeatable request without a response is tried elsewhere after this multiple of the route's
     * latency goal.
     */
    private static final long STALL_TIMEOUT_GOAL_MULTIPLE = 2;

    /**
     * A repeatable stream without a new event for this multiple of the route's target event gap is
     * resumed elsewhere. Callers abandon a stream after eight times the target gap; an engine that
     * preempts a request pauses for a few times the target gap.
     */
    private static final long STALL_TIMEOUT_GAP_MULTIPLE = 6;

    private static final long MIN_STALL_TIMEOUT_MS = 1_000;

    /**
     * The interval at which an attempt that has stalled looks for another endpoint, in
     * milliseconds.
     */
    private static final long STALL_RECHECK_MS = 200;

    /** Responses up to this length are passed on only when they are complete, in bytes. */
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;

    /**
     * A response that is no stream has stalled if it grows by less than this within the stall
     * timeout, in bytes. A stream has stalled if no further complete event arrives.
     */
    private static final int MIN_PROGRESS_BYTES = 256;

    final GatewayAttemptRunner mRunner;
    final AttemptDependencies mDependencies;
    final GatewayExchange mExchange;
    private ResponseHead mHead;
    private Buffer mBody = Buffer.buffer();
    private boolean mStreaming;
    private boolean mPassingThrough;
    private boolean mEventReceived;
    private long mStallTimer = -1;
    private boolean mStallNoted;
    private long mLastProgressMs;
    private boolean mPaused;
    private int mBytesSinceProgress;
    boolean mFinished;

    AbstractAttempt(GatewayAttemptRunner runner, GatewayExchange exchange) {
        mRunner = runner;
        mDependencies = runner.dependencies();
        mExchange = exchange;
    }

    /** Removes this attempt from the load of the endpoint or region. */
    abstract void release(boolean answered);

    /** Closes the connection that carries the attempt. */
    abstract void abort();

    /** Handles a response which states that the request has not been executed. */
    abstract void noteNotExecuted(ResponseHead head);

    /** Handles a connection that could not be opened or was lost. */
    abstract void noteConnectionFailure(Failure failure);

    /** Handles an attempt without progress within the stall timeout. */
    abstract void noteStall();

    /**
     * Starts the stall check of a repeatable request, which detects a response that does not start
     * or does not progress.
     */
    void watchForStall() {
        mLastProgressMs = Clocks.steadyMs();
        if (mExchange.route().isRepeatable()) {
            scheduleStallCheck(stallTimeoutMs());
        }
    }

    /** Records for the log by which state of the operators the request is sent. */
    void noteSendState() {
        mExchange.noteSendState(
                mDependencies.control().snapshot().configuration().version(),
                mDependencies.control().stateFreshness().ageMs(Clocks.now()));
    }

    private void scheduleStallCheck(long delayMs) {
        mStallTimer =
                mDependencies
                        .vertx()
                        .setTimer(Math.max(1, delayMs), ignored -> runStep(this::checkStall));
    }

    /** Runs a step of this attempt; an exception that it raises ends the exchange. */
    void runStep(Runnable step) {
        mDependencies.finisher().runStep(mExchange, step);
    }

    private long stallTimeoutMs() {
        RouteRule route = mExchange.route();
        long gapTimeoutMs = STALL_TIMEOUT_GAP_MULTIPLE * route.targetEventGapMs();
        long timeoutMs =
                mStreaming && gapTimeoutMs > 0
                        ? gapTimeoutMs
                        : STALL_TIMEOUT_GOAL_MULTIPLE * route.goalMs();
        return Math.max(MIN_STALL_TIMEOUT_MS, timeoutMs);
    }

    private void checkStall() {
        long nowMs = Clocks.steadyMs();
        if (mFinished || mPassingThrough || mExchange.deadlineMs() - nowMs < MIN_STALL_TIMEOUT_MS) {
            return;
        }
        long remainingMs = mPaused ? stallTimeoutMs() : mLastProgressMs + stallTimeoutMs() - nowMs;
        if (remainingMs > 0) {
            scheduleStallCheck(remainingMs);
        } else if (mRunner.mayRetryAtOnce(mExchange)) {
            retryAfterStall();
        } else {
            awaitLateResponse();
        }
    }

    /** Goes on waiting, as ending the attempt would only lose a response that may still come. */
    private void awaitLateResponse() {
        noteStallOnce();
        if (mExchange.mayRunAgain()) {
            scheduleStallCheck(STALL_RECHECK_MS);
        }
    }

    private void retryAfterStall() {
        mExchange.trace("stalled");
        finish(false);
        abort();
        noteStallOnce();
        mRunner.dispatcher().submitFirst(mExchange);
    }

    private void noteStallOnce() {
        if (!mStallNoted) {
            mStallNoted = true;
            noteStall();
        }
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
    public void head(ResponseHead head) {
        mHead = head;
        mLastProgressMs = Clocks.steadyMs();
        if (head.notRun() || !head.isSuccess() || !mExchange.isStream()) {
            return;
        }
        if (!head.signed() || head.bodyEncoded()) {
            rejectResponse("unsigned");
            return;
        }
        if (mExchange.relay() != null && !head.mayBeEventStream()) {
            rejectResponse("no-stream");
            return;
        }
        startStream(head);
    }

    private void startStream(ResponseHead head) {
        mStreaming = true;
        if (mExchange.relay() == null) {
            mExchange.setRelay(new StreamRelay(mExchange.sink(), mExchange.head().lastEventId()));
            Map<String, String> headers = head.passedHeaders();
            headers.remove("content-length");
            mExchange.sink().sendHead(head.status(), headers);
        } else {
            resumeStream(head);
        }
    }

    /**
     * Resumes a stream whose first events were sent by an earlier attempt, here or at another
     * instance.
     */
    private void resumeStream(ResponseHead head) {
        mExchange.relay().restart();
        if (!mExchange.sink().headSent()) {
            mExchange.sink().sendHead(head.status(), head.passedHeaders());
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
        if (mExchange.sink().writeQueueFull()) {
            mPaused = true;
            pause();
            mExchange.sink().onDrain(() -> runStep(this::onSinkDrained));
        }
    }

    /** Relays complete events; returns whether the attempt continues. */
    private boolean relayEvents(Buffer data) {
        StreamRelay relay = mExchange.relay();
        long previousEvents = relay.events();
        noteStreamData();
        if (!relay.receive(data)) {
            rejectResponse("odd-events");
            return false;
        }
        long newEvents = relay.events() - previousEvents;
        if (newEvents > 0) {
            mLastProgressMs = Clocks.steadyMs();
            mExchange.noteEvent(mLastProgressMs);
            noteEvents((int) newEvents);
            noteEventReceived();
        }
        return true;
    }

    /**
     * Relays or buffers the bytes of a response that is no stream; returns whether the attempt
     * continues.
     */
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

    private void noteEventReceived() {
        if (!mEventReceived) {
            mEventReceived = true;
            noteAnswerBegun();
        }
    }

    /** Returns whether the answer has begun: a complete event of a stream has been received. */
    boolean answerBegun() {
        return mEventReceived;
    }

    private void onSinkDrained() {
        mPaused = false;
        mLastProgressMs = Clocks.steadyMs();
        resume();
    }

    /** Starts to pass a response on as it arrives once it is too long to buffer. */
    private void passThroughIfLarge() {
        boolean authentic = mHead.isSuccess() && mHead.signed() && !mHead.bodyEncoded();
        if (mBody.length() > MAX_BUFFERED_BYTES && authentic) {
            mPassingThrough = true;
            mExchange.sink().sendHead(mHead.status(), mHead.passedHeaders());
            mExchange.sink().write(mBody);
            mBody = Buffer.buffer();
        }
    }

    /** Handles the arrival of stream data. */
    void noteStreamData() {}

    /** Handles the arrival of complete events of a stream. */
    void noteEvents(int count) {}

    /** Handles the first complete event of a stream, or a complete successful response. */
    void noteAnswerBegun() {}

    /** Handles a stream that ends in the middle of an event. */
    void noteCutEvent() {}

    /** Ends an attempt whose response is invalid, and adds the reason to the trace. */
    private void rejectResponse(String step) {
        mExchange.trace(step);
        finish(false);
        abort();
        retryOrFail();
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
            mRunner.retryOrGiveUp(mExchange, GatewayRefusal.unavailable());
        } else if (mStreaming) {
            endStream();
        } else {
            endBuffered();
        }
    }

    /** A stream that ends with its connection before its first event has been interrupted. */
    @Override
    public void endByClose() {
        if (mStreaming && !mEventReceived && !mFinished) {
            failed(Failure.INTERRUPTED);
        } else {
            end();
        }
    }

    private void endStream() {
        if (!mExchange.relay().isAtEventBoundary()) {
            noteCutEvent();
            rejectResponse("cut-event");
            return;
        }
        finish(true);
        recordSuccess();
        mExchange.sink().end();
        mDependencies.finisher().answered(mExchange, mHead.status());
    }

    /** Records that the request does not crash endpoints. */
    private void recordSuccess() {
        mExchange.lookedUpDigest().ifPresent(mDependencies.control().crashReports()::recordAnswer);
    }

    private void endBuffered() {
        boolean authentic = mHead.signed() && !mHead.bodyEncoded();
        if (mHead.isSuccess() && !authentic) {
            rejectResponse("unsigned");
            return;
        }
        if (!mPassingThrough && mExchange.sink().headSent()) {
            // This attempt was to resume a stream; the body of a response that is no stream cannot
            // follow the events already sent.
            mExchange.trace("status-" + mHead.status());
            finish(false);
            retryOrFail();
            return;
        }
        if (mHead.isServerError() && mayRetryServerError()) {
            mExchange.trace("status-" + mHead.status());
            if (mHead.signed()) {
                mExchange.holdErrorResponse(new BufferedResponse(mHead, mBody));
            }
            finish(false);
            mRunner.retryOrGiveUp(mExchange, GatewayRefusal.incompleteResponse());
            return;
        }
        finish(true);
        if (mHead.isSuccess()) {
            noteAnswerBegun();
            recordSuccess();
        }
        if (impliesNotExecuted()) {
            mRunner.giveUp(mExchange, GatewayRefusal.incompleteResponse());
            return;
        }
        if (mPassingThrough) {
            mExchange.sink().end();
        } else {
            new BufferedResponse(mHead, mBody).sendTo(mExchange.sink());
        }
        mDependencies.finisher().answered(mExchange, mHead.status());
    }

    /**
     * Returns whether the status would tell the caller of an unrepeatable request that it has not
     * been executed, although it may have been.
     */
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
                && mRunner.budgetAllowsRetry(mExchange);
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
        retryOrFail();
    }

    private void retryOrFail() {
        if (mPassingThrough) {
            mDependencies.finisher().failIncomplete(mExchange);
        } else {
            mRunner.retryOrGiveUp(
                    mExchange,
                    mExchange.runs() == 0
                            ? GatewayRefusal.unavailable()
                            : GatewayRefusal.incompleteResponse());
        }
    }
}
