package org.filbertrudder.gateway.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.filbertrudder.gateway.config.AccountRule;
import org.filbertrudder.gateway.config.RequestKind;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewayControl;
import org.filbertrudder.gateway.control.GatewaySnapshot;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.PromptRun;

/** Runs attempts at endpoints and in other regions and decides what follows a failed one. */
final class AttemptRunner implements RequestDispatcher.Starter {

    /** The least time left for which an endpoint is asked, in milliseconds. */
    private static final long MIN_LEFT_MS = 20;

    /** Sends beyond the permitted runs, for endpoints that turn the request away. */
    private static final int EXTRA_SENDS = 3;

    /** A repeatable request without an answer after so many goals is tried elsewhere. */
    private static final long STALL_GOALS = 2;

    private static final long MIN_STALL_MS = 1_000;

    /** After this time another region's reports count a forwarded request, in milliseconds. */
    private static final long REPORT_DELAY_MS = 700;

    private final Vertx mVertx;
    private final GatewayControl mControl;
    private final HttpProtocol mProtocol;
    private final EndpointConnections mConnections;
    private final PeerForwards mForwards;
    private final RegionBoard mBoard;
    private final EndpointDoctor mDoctor;
    private final RetryBudgets mBudgets;
    private final ExchangeFinisher mFinisher;
    private final RandomGenerator mRandom;
    private RequestDispatcher mDispatcher;

    AttemptRunner(
            Vertx vertx,
            GatewayControl control,
            HttpProtocol protocol,
            EndpointConnections connections,
            PeerForwards forwards,
            RegionBoard board,
            EndpointDoctor doctor,
            RetryBudgets budgets,
            ExchangeFinisher finisher,
            RandomGenerator random) {
        mVertx = vertx;
        mControl = control;
        mProtocol = protocol;
        mConnections = connections;
        mForwards = forwards;
        mBoard = board;
        mDoctor = doctor;
        mBudgets = budgets;
        mFinisher = finisher;
        mRandom = random;
    }

    void setDispatcher(RequestDispatcher dispatcher) {
        mDispatcher = dispatcher;
    }

    @Override
    public void startLocal(GatewayExchange exchange, EndpointState endpoint) {
        if (mayStart(exchange)) {
            new LocalAttempt(exchange, endpoint).start();
        }
    }

    @Override
    public void startAway(
            GatewayExchange exchange, RegionId region, Optional<EndpointState> expected) {
        if (!mayStart(exchange)) {
            return;
        }
        List<Member> members = mControl.snapshot().workingIn(region);
        if (members.isEmpty()) {
            exchange.triedRegions().add(region);
            mDispatcher.submit(exchange);
            return;
        }
        Member member = members.get(mRandom.nextInt(members.size()));
        new AwayAttempt(exchange, region, member).start(expected);
    }

    /** Checks, at the last moment, that the request may still be sent; gives it up otherwise. */
    private boolean mayStart(GatewayExchange exchange) {
        if (exchange.ended()) {
            return false;
        }
        boolean keyed = exchange.account().isPresent();
        if (keyed && !mControl.fence().isOpen(Clocks.now())) {
            giveUp(exchange, Refusal.stateOutdated());
            return false;
        }
        if (exchange.endMs() - Clocks.steadyMs() < MIN_LEFT_MS) {
            giveUp(exchange, Refusal.timedOut(true));
            return false;
        }
        if (exchange.sends() == 0) {
            mBudgets.noteRequest(exchange.service());
        } else if (!mBudgets.tryRetry(exchange.service(), mControl.snapshot().runningCount())) {
            giveUp(exchange, Refusal.unavailable());
            return false;
        }
        return true;
    }

    @Override
    public void giveUp(GatewayExchange exchange, Refusal refusal) {
        HeldAnswer held = exchange.heldAnswer();
        if (held != null && !exchange.ended() && !exchange.sink().headSent()) {
            held.sendTo(exchange.sink());
            mFinisher.answered(exchange, held.head().status());
            return;
        }
        boolean truthful = !refusal.notRun() || exchange.runs() == 0;
        mFinisher.refuse(exchange, truthful ? refusal : Refusal.broken());
    }

    /** Tries once more, or gives up. */
    private void again(GatewayExchange exchange, Refusal otherwise) {
        boolean maySend = exchange.sends() < exchange.route().maxRuns() + EXTRA_SENDS;
        if (!exchange.callerLeft() && exchange.mayRunAgain() && maySend) {
            mDispatcher.submit(exchange);
        } else {
            giveUp(exchange, otherwise);
        }
    }

    private static boolean isStream(GatewayExchange exchange) {
        return exchange.route().kind() == RequestKind.STREAM;
    }

    /** Follows one attempt and passes its answer on. */
    private abstract class BaseAttempt implements Attempt, AttemptListener {

        final GatewayExchange mExchange;
        private AnswerHead mHead;
        private Buffer mBody = Buffer.buffer();
        private boolean mStreaming;
        private boolean mPiping;
        private long mStallTimer = -1;
        boolean mOver;

        BaseAttempt(GatewayExchange exchange) {
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

        void armStallTimer() {
            if (!mExchange.route().isRepeatable()) {
                return;
            }
            long stallMs = Math.max(MIN_STALL_MS, STALL_GOALS * mExchange.route().goalMs());
            mStallTimer = mVertx.setTimer(stallMs, ignored -> stalled());
        }

        private void stalled() {
            boolean hopeless = mExchange.endMs() - Clocks.steadyMs() < MIN_STALL_MS;
            if (mOver || mHead != null || hopeless || !mExchange.mayRunAgain()) {
                return;
            }
            mExchange.trace("stalled");
            over(false);
            abort();
            silent();
            again(mExchange, Refusal.broken());
        }

        void over(boolean answered) {
            if (!mOver) {
                mOver = true;
                mVertx.cancelTimer(mStallTimer);
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
            if (head.notRun() || !head.isSuccess() || !isStream(mExchange)) {
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
            mVertx.cancelTimer(mStallTimer);
            if (mExchange.relay() == null) {
                mExchange.setRelay(
                        new StreamRelay(mExchange.sink(), mExchange.head().lastEventId()));
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
            if (mStreaming) {
                noteProgress();
                if (!mExchange.relay().data(data)) {
                    spoiled("odd-events");
                    return;
                }
            } else if (mPiping) {
                mExchange.sink().write(data);
            } else {
                mBody.appendBuffer(data);
                pipeLong();
            }
            if (mExchange.sink().full()) {
                pause();
                mExchange.sink().onDrain(this::resume);
            }
        }

        /** Passes a long answer on as it comes instead of holding it until it is whole. */
        private void pipeLong() {
            boolean acceptable = mHead.isSuccess() && mHead.signed() && !mHead.encoded();
            if (mBody.length() > AnswerLimits.MAX_HELD_BYTES && acceptable) {
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
                again(mExchange, Refusal.unavailable());
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
            mFinisher.answered(mExchange, mHead.status());
        }

        private void endWhole() {
            boolean proper = mHead.signed() && !mHead.encoded();
            if (mHead.isSuccess() && !proper) {
                spoiled("unsigned");
                return;
            }
            if (mHead.isServerError() && mayReplaceError()) {
                mExchange.trace("status-" + mHead.status());
                if (mHead.signed()) {
                    mExchange.holdAnswer(new HeldAnswer(mHead, mBody));
                }
                over(false);
                again(mExchange, Refusal.broken());
                return;
            }
            over(true);
            if (isFalsePromise()) {
                giveUp(mExchange, Refusal.broken());
                return;
            }
            if (mPiping) {
                mExchange.sink().end();
            } else {
                new HeldAnswer(mHead, mBody).sendTo(mExchange.sink());
            }
            mFinisher.answered(mExchange, mHead.status());
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
                    && mBudgets.hasRoom(mExchange.service(), mControl.snapshot().runningCount());
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
                mFinisher.breakOff(mExchange);
            } else {
                again(mExchange, mExchange.runs() == 0 ? Refusal.unavailable() : Refusal.broken());
            }
        }
    }

    /** Runs a request at an endpoint of this region. */
    private final class LocalAttempt extends BaseAttempt {

        private final EndpointState mEndpoint;
        private EndpointConnection mConnection;
        private boolean mBegun;
        private Optional<PromptRun> mPrompt = Optional.empty();

        LocalAttempt(GatewayExchange exchange, EndpointState endpoint) {
            super(exchange);
            mEndpoint = endpoint;
        }

        void start() {
            long nowMs = Clocks.steadyMs();
            mExchange.tried().add(mEndpoint.id());
            mExchange.trace("to=" + mEndpoint.id() + "@" + (nowMs - mExchange.arrivedMs()));
            mExchange.setAttempt(this);
            mExchange.countSend();
            mEndpoint.started(false, nowMs);
            mPrompt = mExchange.head().prompt().map(prompt -> mEndpoint.startPrompt(prompt, nowMs));
            armStallTimer();
            mConnections.acquire(
                    mEndpoint.endpoint(), mExchange.route().isRepeatable(), this::connected);
        }

        private void connected(EndpointConnection connection) {
            if (mOver) {
                if (connection != null) {
                    mConnections.release(mEndpoint.endpoint(), connection);
                }
                return;
            }
            if (connection == null) {
                failed(Failure.NOT_SENT);
                return;
            }
            mConnection = connection;
            long leftMs = mExchange.endMs() - Clocks.steadyMs();
            boolean keyed = mExchange.account().isPresent();
            if (leftMs <= 0 || (keyed && !mControl.fence().isOpen(Clocks.now()))) {
                mExchange.takeBackRun();
                over(false);
                mConnections.release(mEndpoint.endpoint(), connection);
                giveUp(mExchange, leftMs <= 0 ? Refusal.timedOut(true) : Refusal.stateOutdated());
                return;
            }
            HttpHeaders headers = EndpointConnection.newHeaders();
            mExchange.head().passedHeaders().forEach(headers::set);
            long lastEventId =
                    mExchange.relay() == null
                            ? mExchange.head().lastEventId()
                            : mExchange.relay().lastId();
            mProtocol.writeAttempt(
                    headers,
                    new AttemptHead(
                            mEndpoint.id(),
                            mExchange.account().map(AccountRule::id),
                            leftMs,
                            mExchange.priority(),
                            lastEventId));
            connection.send(
                    mExchange.head().requestId(),
                    mExchange.method(),
                    mExchange.uri(),
                    headers,
                    mExchange.body(),
                    this,
                    () -> mConnections.release(mEndpoint.endpoint(), connection));
        }

        @Override
        public void head(AnswerHead head) {
            mDoctor.noteAlive(mEndpoint);
            head.requests()
                    .ifPresent(
                            requests -> {
                                if (mExchange.head().prompt().isEmpty()) {
                                    mEndpoint.reported(requests, Clocks.steadyMs());
                                }
                            });
            super.head(head);
        }

        @Override
        void noteProgress() {
            mDoctor.noteAlive(mEndpoint);
            if (!mBegun) {
                mBegun = true;
                mExchange.trace("first@" + (Clocks.steadyMs() - mExchange.arrivedMs()));
                mPrompt.ifPresent(PromptRun::noteRead);
            }
        }

        @Override
        void release(boolean answered) {
            mPrompt.ifPresent(PromptRun::end);
            if (answered) {
                mEndpoint.succeeded();
                mDispatcher.served(mExchange);
            } else {
                mEndpoint.ended();
            }
            mDispatcher.pump(mExchange.service());
        }

        @Override
        void abort() {
            if (mConnection != null) {
                mConnection.cancel();
            }
        }

        @Override
        void turnedAway(AnswerHead head) {
            mExchange.trace("turned-away-" + head.status());
            mDoctor.turnedAway(mEndpoint, head.status());
        }

        @Override
        void lost(Failure failure) {
            if (failure == Failure.NOT_SENT) {
                mDoctor.unreachable(mEndpoint);
            } else {
                mDoctor.lost(mEndpoint, mExchange);
            }
        }

        @Override
        void silent() {
            mDoctor.silent(mEndpoint);
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

    /** Runs a request in another region. */
    private final class AwayAttempt extends BaseAttempt {

        private final RegionId mRegion;
        private final Member mMember;
        private Attempt mForward;
        private Optional<PromptRun> mExpected = Optional.empty();

        AwayAttempt(GatewayExchange exchange, RegionId region, Member member) {
            super(exchange);
            mRegion = region;
            mMember = member;
        }

        void start(Optional<EndpointState> expected) {
            long nowMs = Clocks.steadyMs();
            GatewaySnapshot snapshot = mControl.snapshot();
            mExchange.triedRegions().add(mRegion);
            mExchange.trace("via=" + mMember.id() + "@" + (nowMs - mExchange.arrivedMs()));
            mExchange.setAttempt(this);
            mExchange.countSend();
            mBoard.noteSent(mExchange.service(), mRegion);
            if (expected.isPresent()) {
                mExpected =
                        mExchange
                                .head()
                                .prompt()
                                .map(prompt -> expected.get().startPrompt(prompt, nowMs));
                mVertx.setTimer(REPORT_DELAY_MS, ignored -> endEstimate());
            }
            long leftMs = mExchange.endMs() - nowMs;
            mForward = mForwards.start(mMember, mExchange, snapshot, leftMs, this);
        }

        /** Leaves the load to the reports of the other region, which count the request by now. */
        private void endEstimate() {
            mExpected.ifPresent(PromptRun::end);
        }

        @Override
        void release(boolean answered) {
            endEstimate();
            if (answered) {
                mDispatcher.served(mExchange);
            }
        }

        @Override
        void abort() {
            if (mForward != null) {
                mForward.cancel();
            }
        }

        @Override
        void turnedAway(AnswerHead head) {
            mExchange.trace("refused-there-" + head.status());
        }

        @Override
        void lost(Failure failure) {}

        @Override
        void silent() {}

        @Override
        public void pause() {
            mForward.pause();
        }

        @Override
        public void resume() {
            mForward.resume();
        }
    }
}
