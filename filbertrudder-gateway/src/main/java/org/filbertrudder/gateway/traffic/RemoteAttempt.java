package org.filbertrudder.gateway.traffic;

import java.util.Optional;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewaySnapshot;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.PromptLoad;

/** Runs a request by forwarding it to an instance in another region. */
final class RemoteAttempt extends AbstractAttempt {

    /**
     * The time after which another region's load reports include a forwarded request, in
     * milliseconds.
     */
    private static final long LOAD_ESTIMATE_LIFETIME_MS = 700;

    private final RegionId mRegion;
    private final Member mMember;
    private Attempt mForwardAttempt;
    private Optional<PromptLoad> mLoadEstimate = Optional.empty();

    RemoteAttempt(
            GatewayAttemptRunner runner, GatewayExchange exchange, RegionId region, Member member) {
        super(runner, exchange);
        mRegion = region;
        mMember = member;
    }

    void start(Optional<EndpointState> expectedEndpoint) {
        long nowMs = Clocks.steadyMs();
        GatewaySnapshot snapshot = mDependencies.control().snapshot();
        mExchange.triedRegions().add(mRegion);
        mExchange.trace("via=" + mMember.id() + "@" + (nowMs - mExchange.arrivedMs()));
        mExchange.setAttempt(this);
        mExchange.countSend();
        mDependencies.loadReporting().noteSent(mExchange.service(), mRegion);
        if (expectedEndpoint.isPresent()) {
            mLoadEstimate =
                    mExchange
                            .head()
                            .promptDemand()
                            .map(prompt -> expectedEndpoint.get().addPromptLoad(prompt, nowMs));
            mDependencies.vertx().setTimer(LOAD_ESTIMATE_LIFETIME_MS, ignored -> endLoadEstimate());
        }
        watchForStall();
        noteSendState();
        long remainingMs = mExchange.deadlineMs() - nowMs;
        mForwardAttempt =
                mDependencies
                        .forwardClient()
                        .start(
                                mMember,
                                mExchange,
                                snapshot,
                                remainingMs,
                                new StepListener(this, this::runStep));
    }

    /**
     * Removes the estimated load of the request, which the other region's reports include by now.
     */
    private void endLoadEstimate() {
        mLoadEstimate.ifPresent(PromptLoad::release);
    }

    @Override
    void release(boolean answered) {
        endLoadEstimate();
    }

    @Override
    void abort() {
        if (mForwardAttempt != null) {
            mForwardAttempt.cancel();
        }
    }

    @Override
    void noteNotExecuted(ResponseHead head) {
        mExchange.trace("refused-there-" + head.status());
        head.retryAfterMs().ifPresent(mExchange::setRetryAfterMs);
    }

    @Override
    void noteConnectionFailure(Failure failure) {}

    @Override
    void noteStall() {}

    @Override
    public void pause() {
        mForwardAttempt.pause();
    }

    @Override
    public void resume() {
        mForwardAttempt.resume();
    }
}
