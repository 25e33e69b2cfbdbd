package org.filbertrudder.gateway.traffic;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.filbertrudder.gateway.config.AccountRule;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.PromptDemand;
import org.filbertrudder.policy.routing.PromptRun;

/** Runs a request at an endpoint of this region. */
final class LocalAttempt extends AnswerAttempt {

    private final EndpointState mEndpoint;
    private EndpointConnection mConnection;
    private boolean mBegun;
    private Optional<PromptRun> mPrompt = Optional.empty();

    LocalAttempt(AttemptRunner runner, GatewayExchange exchange, EndpointState endpoint) {
        super(runner, exchange);
        mEndpoint = endpoint;
    }

    void start() {
        long nowMs = Clocks.steadyMs();
        mExchange.tried().add(mEndpoint.id());
        mExchange.trace("to=" + mEndpoint.id() + "@" + (nowMs - mExchange.arrivedMs()));
        mExchange.head().prompt().ifPresent(prompt -> traceEngine(prompt, nowMs));
        mExchange.setAttempt(this);
        mExchange.countSend();
        mEndpoint.started(false, nowMs);
        mPrompt = mExchange.head().prompt().map(prompt -> mEndpoint.startPrompt(prompt, nowMs));
        watchForStall();
        mTools.connections()
                .acquire(mEndpoint.endpoint(), mExchange.route().isRepeatable(), this::connected);
    }

    /** Adds what was known of the engine when it was chosen. */
    private void traceEngine(PromptDemand prompt, long nowMs) {
        mExchange.trace(
                "uncached="
                        + mEndpoint.missingSharedTokens(prompt, nowMs)
                        + " backlogMs="
                        + Math.round(mEndpoint.backlogMs()));
    }

    private void connected(EndpointConnection connection) {
        if (mOver) {
            if (connection != null) {
                mTools.connections().release(mEndpoint.endpoint(), connection);
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
        if (leftMs <= 0 || (keyed && !mTools.control().fence().isOpen(Clocks.now()))) {
            mExchange.takeBackRun();
            over(false);
            mTools.connections().release(mEndpoint.endpoint(), connection);
            mRunner.giveUp(
                    mExchange, leftMs <= 0 ? Refusal.timedOut(true) : Refusal.stateOutdated());
            return;
        }
        HttpHeaders headers = EndpointConnection.newHeaders();
        mExchange.head().passedHeaders().forEach(headers::set);
        long lastEventId =
                mExchange.relay() == null
                        ? mExchange.head().lastEventId()
                        : mExchange.relay().lastId();
        mTools.protocol()
                .writeAttempt(
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
                () -> mTools.connections().release(mEndpoint.endpoint(), connection));
    }

    @Override
    public void head(AnswerHead head) {
        mTools.doctor().noteAnswer(mEndpoint, head);
        if (head.isSuccess() || (head.isServerError() && !head.notRun())) {
            mEndpoint.noteOutcome(head.isServerError(), Clocks.steadyMs());
        }
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
        mTools.doctor().noteAlive(mEndpoint);
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
        } else {
            mEndpoint.ended();
        }
        mRunner.dispatcher().pumpSoon(mExchange.service());
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
        mTools.doctor().turnedAway(mEndpoint, head.status());
    }

    @Override
    void lost(Failure failure) {
        mEndpoint.noteOutcome(true, Clocks.steadyMs());
        if (failure == Failure.NOT_SENT) {
            mTools.doctor().unreachable(mEndpoint);
        } else {
            mTools.doctor().lost(mEndpoint, mExchange);
        }
    }

    @Override
    void silent() {
        mEndpoint.noteOutcome(true, Clocks.steadyMs());
        mTools.doctor().silent(mEndpoint);
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
