package org.filbertrudder.gateway.traffic;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.filbertrudder.entry.control.TokenGrant;
import org.filbertrudder.entry.control.TokensRefusedException;
import org.filbertrudder.gateway.config.AccountRule;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewayControl;
import org.filbertrudder.policy.retry.SuspectRequests.Decision;

/**
 * Decides whether a request may run: checks that the key state is current, looks for crash reports
 * about the request, and reserves tokens of its account's contract.
 */
final class Admission {

    /**
     * How long a request waits for the state to be confirmed before it is refused, in milliseconds.
     */
    private static final long CONFIRMATION_WAIT_MS = 700;

    /** The longest wait of a request for tokens, in milliseconds. */
    private static final long MAX_TOKEN_WAIT_MS = 1_500;

    /** The remaining time of a request divided by this is the longest that it waits for tokens. */
    private static final long REMAINING_TIME_DIVISOR = 3;

    private final Vertx mVertx;
    private final Context mContext;
    private final GatewayControl mControl;
    private final GatewayExchangeFinisher mFinisher;
    private final Consumer<GatewayExchange> mDispatch;
    private final Predicate<GatewayExchange> mRefuseBlocked;

    /**
     * Creates the admission.
     *
     * @param refuseBlocked refuses a request with a blocked part; returns whether it did
     */
    Admission(
            Vertx vertx,
            Context context,
            GatewayControl control,
            GatewayExchangeFinisher finisher,
            Consumer<GatewayExchange> dispatch,
            Predicate<GatewayExchange> refuseBlocked) {
        mVertx = vertx;
        mContext = context;
        mControl = control;
        mFinisher = finisher;
        mDispatch = dispatch;
        mRefuseBlocked = refuseBlocked;
    }

    /** Admits a request of a caller. */
    void admit(GatewayExchange exchange) {
        admit(exchange, () -> reserveTokens(exchange));
    }

    /** Admits a request that another instance has admitted and forwarded. */
    void admitForwarded(GatewayExchange exchange) {
        admit(exchange, () -> mDispatch.accept(exchange));
    }

    private void admit(GatewayExchange exchange, Runnable next) {
        if (exchange.hasNoCommonRegion()) {
            mFinisher.refuse(exchange, GatewayRefusal.noCommonRegion());
            return;
        }
        awaitConfirmedState(exchange, () -> checkCrashReports(exchange, next));
    }

    private void awaitConfirmedState(GatewayExchange exchange, Runnable next) {
        if (exchange.mayTrustState(mControl)) {
            next.run();
            return;
        }
        onConfirmation(
                CONFIRMATION_WAIT_MS,
                () ->
                        mFinisher.runStep(
                                exchange,
                                () -> {
                                    if (exchange.mayTrustState(mControl)) {
                                        next.run();
                                    } else {
                                        mFinisher.refuse(exchange, GatewayRefusal.stateOutdated());
                                    }
                                }));
    }

    /**
     * Runs the action once on the event loop, after the next confirmation of the state or after the
     * given time, whichever is earlier.
     */
    void onConfirmation(long waitMs, Runnable action) {
        boolean[] done = new boolean[1];
        Runnable runOnce =
                () -> {
                    if (!done[0]) {
                        done[0] = true;
                        action.run();
                    }
                };
        long timer = mVertx.setTimer(waitMs, ignored -> runOnce.run());
        mControl.awaitNextConfirmation()
                .thenRun(
                        () ->
                                mContext.runOnContext(
                                        ignored -> {
                                            mVertx.cancelTimer(timer);
                                            runOnce.run();
                                        }));
    }

    private void checkCrashReports(GatewayExchange exchange, Runnable next) {
        if (exchange.ended() || mRefuseBlocked.test(exchange)) {
            return;
        }
        if (mControl.crashReports().size() == 0) {
            next.run();
            return;
        }
        mControl.crashReports()
                .decisionFor(exchange.digest())
                .whenComplete(
                        (decision, failure) ->
                                runOnContext(
                                        exchange,
                                        () -> applyDecision(exchange, decision, failure, next)));
    }

    private void runOnContext(GatewayExchange exchange, Runnable step) {
        mContext.runOnContext(ignored -> mFinisher.runStep(exchange, step));
    }

    private void applyDecision(
            GatewayExchange exchange, Decision decision, Throwable failure, Runnable next) {
        if (exchange.ended()) {
            return;
        }
        if (failure != null) {
            mFinisher.failAfterException(exchange, failure);
            return;
        }
        if (decision == Decision.REFUSED) {
            mFinisher.refuse(exchange, GatewayRefusal.crashingRequest());
        } else {
            next.run();
        }
    }

    private void reserveTokens(GatewayExchange exchange) {
        Optional<AccountRule> limitedAccount =
                exchange.account().filter(account -> account.contract().isPresent());
        if (limitedAccount.isEmpty()) {
            mDispatch.accept(exchange);
            return;
        }
        long remainingMs = exchange.deadlineMs() - Clocks.steadyMs();
        long waitMs = Math.min(MAX_TOKEN_WAIT_MS, remainingMs / REMAINING_TIME_DIVISOR);
        mControl.tokenReservations()
                .reserve(
                        limitedAccount.get().id(),
                        limitedAccount.get().cost(exchange.head().tokens()),
                        waitMs)
                .whenComplete(
                        (grant, failure) ->
                                runOnContext(exchange, () -> applyGrant(exchange, grant, failure)));
    }

    private void applyGrant(GatewayExchange exchange, TokenGrant grant, Throwable failure) {
        if (failure != null) {
            mFinisher.refuse(exchange, refusal(failure));
            return;
        }
        exchange.setGrant(grant);
        if (exchange.ended()) {
            mControl.tokenReservations().settle(grant, grant.tokens());
        } else {
            mDispatch.accept(exchange);
        }
    }

    private static GatewayRefusal refusal(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof TokensRefusedException refused) {
            return switch (refused.kind()) {
                case RATE_EXCEEDED -> GatewayRefusal.rateExceeded(refused.retryAfterMs());
                case TOO_LARGE -> GatewayRefusal.largerThanBurst();
                default -> GatewayRefusal.unavailable();
            };
        }
        return GatewayRefusal.unavailable();
    }
}
