package org.filbertrudder.gateway.traffic;

import java.util.Optional;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewaySnapshot;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.PromptRun;

/** Runs a request in another region. */
final class AwayAttempt extends AnswerAttempt {

    /** After this time another region's reports count a forwarded request, in milliseconds. */
    private static final long REPORT_DELAY_MS = 700;

    private final RegionId mRegion;
    private final Member mMember;
    private Attempt mForward;
    private Optional<PromptRun> mExpected = Optional.empty();

    AwayAttempt(AttemptRunner runner, GatewayExchange exchange, RegionId region, Member member) {
        super(runner, exchange);
        mRegion = region;
        mMember = member;
    }

    void start(Optional<EndpointState> expected) {
        long nowMs = Clocks.steadyMs();
        GatewaySnapshot snapshot = mTools.control().snapshot();
        mExchange.triedRegions().add(mRegion);
        mExchange.trace("via=" + mMember.id() + "@" + (nowMs - mExchange.arrivedMs()));
        mExchange.setAttempt(this);
        mExchange.countSend();
        mTools.board().noteSent(mExchange.service(), mRegion);
        if (expected.isPresent()) {
            mExpected =
                    mExchange
                            .head()
                            .prompt()
                            .map(prompt -> expected.get().startPrompt(prompt, nowMs));
            mTools.vertx().setTimer(REPORT_DELAY_MS, ignored -> endEstimate());
        }
        watchForStall();
        long leftMs = mExchange.endMs() - nowMs;
        mForward = mTools.forwards().start(mMember, mExchange, snapshot, leftMs, this);
    }

    /** Leaves the load to the reports of the other region, which count the request by now. */
    private void endEstimate() {
        mExpected.ifPresent(PromptRun::end);
    }

    @Override
    void release(boolean answered) {
        endEstimate();
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
