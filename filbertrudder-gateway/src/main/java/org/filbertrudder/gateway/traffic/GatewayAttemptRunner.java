package org.filbertrudder.gateway.traffic;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.policy.routing.EndpointState;

/**
 * Starts attempts at endpoints and in other regions, and retries or ends the request after a failed
 * one.
 */
final class GatewayAttemptRunner implements RequestDispatcher.Starter {

    /** The minimum time until a request's deadline for an attempt to start, in milliseconds. */
    private static final long MIN_REMAINING_MS = 20;

    /**
     * Sends allowed beyond the route's maximum of runs, for endpoints that reject the request
     * without running it.
     */
    private static final int MAX_UNEXECUTED_SENDS = 3;

    private final AttemptDependencies mDependencies;
    private final RandomGenerator mRandom;
    private final Predicate<GatewayExchange> mEndsBeforeStop;
    private RequestDispatcher mDispatcher;

    /**
     * Creates the runner.
     *
     * @param endsBeforeStop whether a request that starts now ends before this instance stops
     */
    GatewayAttemptRunner(
            AttemptDependencies dependencies,
            RandomGenerator random,
            Predicate<GatewayExchange> endsBeforeStop) {
        mDependencies = dependencies;
        mRandom = random;
        mEndsBeforeStop = endsBeforeStop;
    }

    AttemptDependencies dependencies() {
        return mDependencies;
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
    public void startRemote(
            GatewayExchange exchange, RegionId region, Optional<EndpointState> expectedEndpoint) {
        if (!mayStart(exchange)) {
            return;
        }
        List<Member> members = mDependencies.control().snapshot().membersAcceptingWorkIn(region);
        if (members.isEmpty()) {
            exchange.triedRegions().add(region);
            mDispatcher.submit(exchange);
            return;
        }
        new RemoteAttempt(this, exchange, region, drawByStrength(members)).start(expectedEndpoint);
    }

    /** Selects a random member, weighted by strength. */
    private Member drawByStrength(List<Member> members) {
        int remaining = mRandom.nextInt(members.stream().mapToInt(Member::strength).sum());
        for (Member member : members) {
            remaining -= member.strength();
            if (remaining < 0) {
                return member;
            }
        }
        return members.get(members.size() - 1);
    }

    /** Checks right before a send that the request may still be sent, and ends it otherwise. */
    private boolean mayStart(GatewayExchange exchange) {
        if (exchange.ended()) {
            return false;
        }
        Optional<GatewayRefusal> refusal = refusalOfStart(exchange);
        if (refusal.isPresent()) {
            giveUp(exchange, refusal.get());
            return false;
        }
        Optional<String> refusedPart = mDependencies.crashingParts().refusedPart(exchange);
        if (refusedPart.isPresent()) {
            giveUpBlocked(exchange, refusedPart.get());
            return false;
        }
        if (exchange.sends() == 0) {
            mDependencies.retryBudgets().recordRequest(exchange.service());
        } else if (!mDependencies
                .retryBudgets()
                .tryAcquireRetry(
                        exchange.service(), mDependencies.control().snapshot().runningCount())) {
            giveUp(exchange, GatewayRefusal.unavailable());
            return false;
        }
        return true;
    }

    /** Returns why no attempt may start now; empty if one may. */
    private Optional<GatewayRefusal> refusalOfStart(GatewayExchange exchange) {
        if (!exchange.mayTrustState(mDependencies.control())) {
            return Optional.of(GatewayRefusal.stateOutdated());
        }
        if (exchange.deadlineMs() - Clocks.steadyMs() < MIN_REMAINING_MS) {
            return Optional.of(GatewayRefusal.timedOut(true));
        }
        return mEndsBeforeStop.test(exchange)
                ? Optional.empty()
                : Optional.of(GatewayRefusal.stopping());
    }

    @Override
    public void giveUp(GatewayExchange exchange, GatewayRefusal refusal) {
        BufferedResponse errorResponse = exchange.heldErrorResponse();
        if (errorResponse != null && !exchange.ended() && !exchange.sink().headSent()) {
            errorResponse.sendTo(exchange.sink());
            mDependencies.finisher().answered(exchange, errorResponse.head().status());
            return;
        }
        boolean accurate = !refusal.notRun() || exchange.runs() == 0;
        mDependencies
                .finisher()
                .refuse(exchange, accurate ? refusal : GatewayRefusal.incompleteResponse());
    }

    @Override
    public void fail(GatewayExchange exchange, Throwable exception) {
        mDependencies.finisher().failAfterException(exchange, exception);
    }

    /** Ends a request for good because a part of its prompt crashes endpoints. */
    void giveUpBlocked(GatewayExchange exchange, String part) {
        exchange.trace("blocked=" + part);
        mDependencies
                .finisher()
                .refuse(exchange, GatewayRefusal.crashingPart(exchange.runs() == 0));
    }

    /** Returns whether the request may run again and another endpoint can accept it now. */
    boolean mayRetryAtOnce(GatewayExchange exchange) {
        return maySendAgain(exchange)
                && refusalOfStart(exchange).isEmpty()
                && budgetAllowsRetry(exchange)
                && mDispatcher.canStartNow(exchange);
    }

    /** Returns whether the retry budget of the request's service allows a retry now. */
    boolean budgetAllowsRetry(GatewayExchange exchange) {
        return mDependencies
                .retryBudgets()
                .allowsRetry(exchange.service(), mDependencies.control().snapshot().runningCount());
    }

    /**
     * Submits the request for another attempt if it may run again; otherwise ends it with the held
     * error response, if any, or with the given refusal.
     */
    void retryOrGiveUp(GatewayExchange exchange, GatewayRefusal fallback) {
        if (maySendAgain(exchange)) {
            mDispatcher.submit(exchange);
        } else {
            giveUp(exchange, fallback);
        }
    }

    private static boolean maySendAgain(GatewayExchange exchange) {
        return !exchange.callerDisconnected()
                && exchange.mayRunAgain()
                && exchange.sends() < exchange.route().maxRuns() + MAX_UNEXECUTED_SENDS;
    }
}
