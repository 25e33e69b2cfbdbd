package org.filbertrudder.gateway.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.Map;
import org.filbertrudder.gateway.config.RouteRule;
import org.filbertrudder.gateway.control.Clocks;

/** Follows one attempt and passes its answer on. */
abstract class AnswerAttempt implements Attempt, AttemptListener {

    /** A repeatable request without an answer after so many goals is tried elsewhere. */
    private static final long STALL_GOALS = 2;

    /**
     * A repeatable answer that pauses for so many times the longest pause in time goes on
     * elsewhere; callers give up after eight. An engine that preempts a request pauses for a few.
     */
    private static final long STALL_PAUSES = 6;

    private static final long MIN_STALL_MS = 1_000;

    /** Answers up to this length are passed on only when they are whole, in bytes. */
    private static final int MAX_HELD_BYTES = 256 * 1024;

    /**
     * A plain answer that grows by less than this within the stall time has stalled, in bytes. A
     * stream has stalled without another whole event.
     */
    private static final int MIN_PROGRESS_BYTES = 256;

    final AttemptRunner mRunner;
    final AttemptTools mTools;
    final GatewayExchange mExchange;
    private AnswerHead mHead;
    private Buffer mBody = Buffer.buffer();
    private boolean mStreaming;
    private boolean mPiping;
    private long mStallTimer = -1;
    private long mHeardMs;
    private boolean mPaused;
    private int mUnnotedBytes;
    boolean mOver;

    AnswerAttempt(AttemptRunner runner, GatewayExchange exchange) {
        mRunner = runner;
        mTools = runner.tools();
        mExchange = exchange;
    }

    /** Ends this attempt's use of the endpoint or region. */
    abstract void release(boolean answered);

    /** Closes the connection that carries the attempt. */
    abstract void abort();

    /** Notes an endpoint that has certainly not run the request. */
    abstract void turnedAway(AnswerHead head);

    /** Notes an attempt whose connection was not opened or broke. */
    abstract void lost(Failure failure);

    /** Notes an attempt without an answer for a long time. */
    abstract void silent();

    /** Begins to watch for an answer that does not come or does not go on. */
    void watchForStall() {
        mHeardMs = Clocks.steadyMs();
        if (mExchange.route().isRepeatable()) {
            checkLater(stallMs());
        }
    }

    private void checkLater(long delayMs) {
        mStallTimer = mTools.vertx().setTimer(Math.max(1, delayMs), ignored -> checkStall());
    }

    private long stallMs() {
        RouteRule route = mExchange.route();
        long begun = STALL_PAUSES * route.pauseGoalMs();
        long usual = mStreaming && begun > 0 ? begun : STALL_GOALS * route.goalMs();
        return Math.max(MIN_STALL_MS, usual);
    }

    private void checkStall() {
        long nowMs = Clocks.steadyMs();
        if (mOver || mPiping || mExchange.endMs() - nowMs < MIN_STALL_MS) {
            return;
        }
        long leftMs = mPaused ? stallMs() : mHeardMs + stallMs() - nowMs;
        if (leftMs > 0) {
            checkLater(leftMs);
        } else if (mExchange.mayRunAgain()) {
            stalled();
        } else {
            silent();
        }
    }

    private void stalled() {
        mExchange.trace("stalled");
        over(false);
        abort();
        silent();
        mRunner.again(mExchange, Refusal.broken());
    }

    void over(boolean answered) {
        if (!mOver) {
            mOver = true;
            mTools.vertx().cancelTimer(mStallTimer);
            mExchange.setAttempt(null);
            release(answered);
        }
    }

    @Override
    public void cancel() {
        if (!mOver) {
            over(false);
            abort();
        }
    }

    @Override
    public void head(AnswerHead head) {
        mHead = head;
        mHeardMs = Clocks.steadyMs();
        if (head.notRun() || !head.isSuccess() || !mExchange.isStream()) {
            return;
        }
        if (!head.signed() || head.encoded()) {
            spoiled("unsigned");
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
        if (mOver) {
            return;
        }
        if (mHead == null) {
            spoiled("no-head");
            return;
        }
        if (!(mStreaming ? passEvents(data) : passBytes(data))) {
            return;
        }
        if (mExchange.sink().full()) {
            mPaused = true;
            pause();
            mExchange.sink().onDrain(this::drained);
        }
    }

    /** Passes events on; returns whether the attempt goes on. */
    private boolean passEvents(Buffer data) {
        StreamRelay relay = mExchange.relay();
        long eventsBefore = relay.events();
        noteProgress();
        if (!relay.data(data)) {
            spoiled("odd-events");
            return false;
        }
        if (relay.events() > eventsBefore) {
            mHeardMs = Clocks.steadyMs();
        }
        return true;
    }

    /** Passes the bytes of a plain answer on or holds them; returns whether the attempt goes on. */
    private boolean passBytes(Buffer data) {
        mUnnotedBytes += data.length();
        if (mUnnotedBytes >= MIN_PROGRESS_BYTES) {
            mUnnotedBytes = 0;
            mHeardMs = Clocks.steadyMs();
        }
        if (mPiping) {
            mExchange.sink().write(data);
            return true;
        }
        mBody.appendBuffer(data);
        pipeLong();
        if (!mPiping && mBody.length() > MAX_HELD_BYTES) {
            spoiled("too-long");
            return false;
        }
        return true;
    }

    private void drained() {
        mPaused = false;
        mHeardMs = Clocks.steadyMs();
        resume();
    }

    /** Passes a long answer on as it comes instead of holding it until it is whole. */
    private void pipeLong() {
        boolean acceptable = mHead.isSuccess() && mHead.signed() && !mHead.encoded();
        if (mBody.length() > MAX_HELD_BYTES && acceptable) {
            mPiping = true;
            mExchange.sink().head(mHead.status(), mHead.passedHeaders());
            mExchange.sink().write(mBody);
            mBody = Buffer.buffer();
        }
    }

    /** Notes the first token of a stream. */
    void noteProgress() {}

    /** Ends an attempt whose answer cannot be the endpoint's own. */
    private void spoiled(String step) {
        mExchange.trace(step);
        over(false);
        abort();
        continueOrBreak();
    }

    @Override
    public void end() {
        if (mOver) {
            return;
        }
        if (mHead.notRun()) {
            mExchange.takeBackRun();
            over(false);
            turnedAway(mHead);
            mRunner.again(mExchange, Refusal.unavailable());
        } else if (mStreaming) {
            endStream();
        } else {
            endWhole();
        }
    }

    private void endStream() {
        if (!mExchange.relay().isAtEventBoundary()) {
            spoiled("cut-event");
            return;
        }
        over(true);
        mExchange.sink().end();
        mTools.finisher().answered(mExchange, mHead.status());
    }

    private void endWhole() {
        boolean proper = mHead.signed() && !mHead.encoded();
        if (mHead.isSuccess() && !proper) {
            spoiled("unsigned");
            return;
        }
        if (!mPiping && mExchange.sink().headSent()) {
            // A stream that has begun was to go on here; a plain answer cannot follow its events.
            mExchange.trace("status-" + mHead.status());
            over(false);
            continueOrBreak();
            return;
        }
        if (mHead.isServerError() && mayReplaceError()) {
            mExchange.trace("status-" + mHead.status());
            if (mHead.signed()) {
                mExchange.holdAnswer(new HeldAnswer(mHead, mBody));
            }
            over(false);
            mRunner.again(mExchange, Refusal.broken());
            return;
        }
        over(true);
        if (isFalsePromise()) {
            mRunner.giveUp(mExchange, Refusal.broken());
            return;
        }
        if (mPiping) {
            mExchange.sink().end();
        } else {
            new HeldAnswer(mHead, mBody).sendTo(mExchange.sink());
        }
        mTools.finisher().answered(mExchange, mHead.status());
    }

    /** Returns whether a status promises that the request has not run although it may have. */
    private boolean isFalsePromise() {
        int status = mHead.status();
        boolean promise = status == 429 || status == 503 || status == 408 || status == 421;
        return promise && !mExchange.route().isRepeatable();
    }

    private boolean mayReplaceError() {
        return !mPiping
                && !mExchange.sink().headSent()
                && mExchange.mayRunAgain()
                && mTools.budgets()
                        .hasRoom(mExchange.service(), mTools.control().snapshot().runningCount());
    }

    @Override
    public void failed(Failure failure) {
        if (mOver) {
            return;
        }
        mExchange.trace(failure == Failure.NOT_SENT ? "unreachable" : "lost");
        if (failure == Failure.NOT_SENT) {
            mExchange.takeBackRun();
        }
        over(false);
        lost(failure);
        continueOrBreak();
    }

    private void continueOrBreak() {
        if (mPiping) {
            mTools.finisher().breakOff(mExchange);
        } else {
            mRunner.again(
                    mExchange, mExchange.runs() == 0 ? Refusal.unavailable() : Refusal.broken());
        }
    }
}
