package org.filbertrudder.gateway.traffic;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.policy.routing.EndpointState;

/** Runs attempts at endpoints and in other regions and decides what follows a failed one. */
final class AttemptRunner implements RequestDispatcher.Starter {

    /** The least time left for which an endpoint is asked, in milliseconds. */
    private static final long MIN_LEFT_MS = 20;

    /** Sends beyond the permitted runs, for endpoints that turn the request away. */
    private static final int EXTRA_SENDS = 3;

    private final AttemptTools mTools;
    private final RandomGenerator mRandom;
    private RequestDispatcher mDispatcher;

    AttemptRunner(AttemptTools tools, RandomGenerator random) {
        mTools = tools;
        mRandom = random;
    }

    AttemptTools tools() {
        return mTools;
    }

    RequestDispatcher dispatcher() {
        return mDispatcher;
    }

    void setDispatcher(RequestDispatcher dispatcher) {
        mDispatcher = dispatcher;
    }

    @Override
    public void startLocal(GatewayExchange exchange, EndpointState endpoint) {
        if (mayStart(exchange)) {
            new LocalAttempt(this, exchange, endpoint).start();
        }
    }

    @Override
    public void startAway(
            GatewayExchange exchange, RegionId region, Optional<EndpointState> expected) {
        if (!mayStart(exchange)) {
            return;
        }
        List<Member> members = mTools.control().snapshot().workingIn(region);
        if (members.isEmpty()) {
            exchange.triedRegions().add(region);
            mDispatcher.submit(exchange);
            return;
        }
        new AwayAttempt(this, exchange, region, byStrength(members)).start(expected);
    }

    /** Draws a member with a chance that is proportional to its strength. */
    private Member byStrength(List<Member> members) {
        int left = mRandom.nextInt(members.stream().mapToInt(Member::strength).sum());
        for (Member member : members) {
            left -= member.strength();
            if (left < 0) {
                return member;
            }
        }
        return members.get(members.size() - 1);
    }

    /** Checks, at the last moment, that the request may still be sent; gives it up otherwise. */
    private boolean mayStart(GatewayExchange exchange) {
        if (exchange.ended()) {
            return false;
        }
        boolean keyed = exchange.account().isPresent();
        if (keyed && !mTools.control().fence().isOpen(Clocks.now())) {
            giveUp(exchange, Refusal.stateOutdated());
            return false;
        }
        if (exchange.endMs() - Clocks.steadyMs() < MIN_LEFT_MS) {
            giveUp(exchange, Refusal.timedOut(true));
            return false;
        }
        if (exchange.sends() == 0) {
            mTools.budgets().noteRequest(exchange.service());
        } else if (!mTools.budgets()
                .tryRetry(exchange.service(), mTools.control().snapshot().runningCount())) {
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
            mTools.finisher().answered(exchange, held.head().status());
            return;
        }
        boolean truthful = !refusal.notRun() || exchange.runs() == 0;
        mTools.finisher().refuse(exchange, truthful ? refusal : Refusal.broken());
    }

    /** Tries once more, or gives up. */
    void again(GatewayExchange exchange, Refusal otherwise) {
        boolean maySend = exchange.sends() < exchange.route().maxRuns() + EXTRA_SENDS;
        if (!exchange.callerLeft() && exchange.mayRunAgain() && maySend) {
            mDispatcher.submit(exchange);
        } else {
            giveUp(exchange, otherwise);
        }
    }
}
