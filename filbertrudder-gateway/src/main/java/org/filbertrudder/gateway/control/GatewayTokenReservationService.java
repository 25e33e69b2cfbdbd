package org.filbertrudder.gateway.control;

import io.vertx.core.Context;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.filbertrudder.entry.control.TokenGrant;
import org.filbertrudder.entry.control.TokensRefusedException;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ReserveOutcome;
import org.filbertrudder.policy.membership.Membership;
import org.filbertrudder.policy.tokens.InstanceShares;
import org.filbertrudder.policy.tokens.TokenEffect;
import org.filbertrudder.policy.tokens.TokenRequestKey;

/**
 * Reserves tokens of client accounts for the traffic thread, from this instance's share or from
 * another holder of the account.
 */
public final class GatewayTokenReservationService {

    private static final ComponentLogger LOG = ComponentLogger.of("allowance");

    /** The longest time that another holder may queue a request for tokens, in milliseconds. */
    private static final long MAX_REMOTE_WAIT_MS = 200;

    /**
     * The time after which the next holder is tried, in milliseconds; covers a round trip between
     * two regions and a busy process.
     */
    private static final long HOLDER_REPLY_TIMEOUT_MS = 400;

    private static final long UNAVAILABLE_RETRY_AFTER_MS = 1_000;

    private final Context mContext;
    private final Membership mMembership;
    private final InstanceShares mShares;
    private final Sender mSender;
    private final Map<Long, PendingReservation> mPending = new HashMap<>();
    private long mNextId = 1;

    GatewayTokenReservationService(
            Context context, Membership membership, InstanceShares shares, Sender sender) {
        mContext = context;
        mMembership = membership;
        mShares = shares;
        mSender = sender;
    }

    /**
     * Reserves tokens; may be called from any thread.
     *
     * @param waitMs the longest time to wait for tokens, in milliseconds
     * @return the grant; fails with {@link TokensRefusedException} if no tokens are granted
     */
    public CompletableFuture<TokenGrant> reserve(AccountId account, long tokens, long waitMs) {
        CompletableFuture<TokenGrant> result = new CompletableFuture<>();
        mContext.runOnContext(
                ignored -> {
                    long nowMs = Clocks.steadyMs();
                    PendingReservation pending =
                            new PendingReservation(
                                    account,
                                    tokens,
                                    nowMs + waitMs,
                                    reachableHolders(account),
                                    result);
                    requestFromNextHolder(pending, nowMs);
                });
        return result;
    }

    /** Returns the unused tokens of a grant to its holder; may be called from any thread. */
    public void settle(TokenGrant grant, long unusedTokens) {
        mContext.runOnContext(
                ignored -> {
                    if (grant.holder().equals(self())) {
                        apply(
                                mShares.settle(
                                        grant.account(),
                                        grant.reservation(),
                                        unusedTokens,
                                        Clocks.steadyMs()));
                    } else {
                        mSender.send(
                                grant.holder(),
                                new PeerMessage.ReservationSettlement(
                                        grant.account(), grant.reservation(), unusedTokens));
                    }
                });
    }

    private InstanceId self() {
        return mMembership.self().id();
    }

    /**
     * Returns the reachable holders in the order of preference: this instance, its region, all
     * others.
     */
    private Deque<InstanceId> reachableHolders(AccountId account) {
        RegionId here = mMembership.self().region();
        List<InstanceId> local = mShares.holdersIn(here, account);
        List<InstanceId> ordered = new ArrayList<>();
        if (local.contains(self())) {
            ordered.add(self());
        }
        local.stream().filter(id -> !ordered.contains(id)).forEach(ordered::add);
        mShares.holders(account).stream().filter(id -> !ordered.contains(id)).forEach(ordered::add);
        Deque<InstanceId> reachable = new ArrayDeque<>();
        ordered.stream().filter(this::isReachable).forEach(reachable::add);
        return reachable;
    }

    private boolean isReachable(InstanceId id) {
        return mMembership
                .member(id)
                .map(
                        member ->
                                member.state() == MemberState.LIVE
                                        || member.state() == MemberState.LEAVING)
                .orElse(false);
    }

    private void requestFromNextHolder(PendingReservation pending, long nowMs) {
        pending.mCurrentHolder = pending.mRemainingHolders.pollFirst();
        pending.mRequestedMs = nowMs;
        if (pending.mCurrentHolder == null || nowMs >= pending.mDeadlineMs) {
            pending.mGrant.completeExceptionally(
                    new TokensRefusedException(
                            TokensRefusedException.Kind.UNAVAILABLE, UNAVAILABLE_RETRY_AFTER_MS));
            return;
        }
        long id = mNextId++;
        mPending.put(id, pending);
        if (pending.mCurrentHolder.equals(self())) {
            apply(
                    mShares.reserve(
                            new TokenRequestKey(self(), id),
                            pending.mAccount,
                            pending.mTokens,
                            pending.mDeadlineMs,
                            nowMs));
        } else {
            mSender.send(
                    pending.mCurrentHolder,
                    new PeerMessage.ReserveRequest(
                            id,
                            pending.mAccount,
                            pending.mTokens,
                            Math.min(MAX_REMOTE_WAIT_MS, pending.mDeadlineMs - nowMs)));
        }
    }

    /** Reserves tokens for another instance. */
    void handle(InstanceId from, PeerMessage.ReserveRequest request) {
        long nowMs = Clocks.steadyMs();
        apply(
                mShares.reserve(
                        new TokenRequestKey(from, request.id()),
                        request.account(),
                        request.tokens(),
                        nowMs + request.deadlineMs(),
                        nowMs));
    }

    /** Handles the reply of another holder, or of this instance's own share. */
    void handle(InstanceId from, PeerMessage.ReserveReply reply) {
        PendingReservation pending = mPending.get(reply.id());
        if (pending == null || !from.equals(pending.mCurrentHolder)) {
            logLateGrant(from, reply);
            return;
        }
        mPending.remove(reply.id());
        if (reply.outcome() == ReserveOutcome.GRANTED) {
            pending.mGrant.complete(
                    new TokenGrant(pending.mAccount, from, reply.reservation(), pending.mTokens));
        } else if (reply.outcome() == ReserveOutcome.NOT_HOLDER) {
            requestFromNextHolder(pending, Clocks.steadyMs());
        } else {
            pending.mGrant.completeExceptionally(refusal(reply));
        }
    }

    /** Logs a grant that arrived too late; its tokens are not returned and count as consumed. */
    private static void logLateGrant(InstanceId from, PeerMessage.ReserveReply reply) {
        if (reply.outcome() == ReserveOutcome.GRANTED) {
            LOG.debug(
                    "A token grant arrived after its request had ended.",
                    LogField.of("holder", from));
        }
    }

    private static TokensRefusedException refusal(PeerMessage.ReserveReply reply) {
        return reply.outcome() == ReserveOutcome.TOO_LARGE
                ? new TokensRefusedException(TokensRefusedException.Kind.TOO_LARGE, 0)
                : new TokensRefusedException(
                        TokensRefusedException.Kind.RATE_EXCEEDED, reply.retryAfterMs());
    }

    /** Takes back unused tokens from another instance. */
    void handle(PeerMessage.ReservationSettlement message) {
        apply(
                mShares.settle(
                        message.account(),
                        message.reservation(),
                        message.unusedTokens(),
                        Clocks.steadyMs()));
    }

    /** Lends tokens of this instance's share to another holder. */
    void handle(InstanceId from, PeerMessage.LoanRequest request) {
        mSender.send(from, mShares.lend(request, Clocks.steadyMs()));
    }

    /** Adds tokens lent by another holder to this instance's share. */
    void handle(PeerMessage.LoanGrant grant) {
        apply(mShares.addGrantedLoan(grant, Clocks.steadyMs()));
    }

    /** Sends the replies and loan requests that the shares of this instance have returned. */
    void apply(List<TokenEffect> effects) {
        for (TokenEffect effect : effects) {
            if (effect instanceof TokenEffect.Reply reply) {
                if (reply.requestKey().instance().equals(self())) {
                    handle(self(), reply.reply());
                } else {
                    mSender.send(reply.requestKey().instance(), reply.reply());
                }
            } else if (effect instanceof TokenEffect.RequestLoanFromInstance loan) {
                requestLoan(loan);
            }
        }
    }

    /** Requests a loan; an unreachable lender is handled like a lender that grants 0 tokens. */
    private void requestLoan(TokenEffect.RequestLoanFromInstance loan) {
        if (isReachable(loan.lender())) {
            mSender.send(loan.lender(), loan.request());
            return;
        }
        PeerMessage.LoanGrant emptyGrant =
                new PeerMessage.LoanGrant(loan.request().id(), loan.request().account(), 0, 0, 0);
        mContext.runOnContext(
                ignored -> apply(mShares.addGrantedLoan(emptyGrant, Clocks.steadyMs())));
    }

    /** Grants queued reservations, and tries the next holder for each request that timed out. */
    void tick(long nowMs) {
        apply(mShares.tick(nowMs));
        List<Long> timedOut = new ArrayList<>();
        mPending.forEach(
                (id, pending) -> {
                    boolean remote = !self().equals(pending.mCurrentHolder);
                    if (remote && nowMs - pending.mRequestedMs > HOLDER_REPLY_TIMEOUT_MS) {
                        timedOut.add(id);
                    }
                });
        timedOut.forEach(
                id ->
                        Optional.ofNullable(mPending.remove(id))
                                .ifPresent(
                                        reservation -> requestFromNextHolder(reservation, nowMs)));
    }

    /** Sends messages to other instances by their ids. */
    @FunctionalInterface
    interface Sender {

        /** Sends a message; drops the message if the instance is not a member. */
        void send(InstanceId to, PeerMessage message);
    }

    /** Holds a reservation that no holder has granted or refused yet. */
    private static final class PendingReservation {

        private final AccountId mAccount;
        private final long mTokens;
        private final long mDeadlineMs;
        private final Deque<InstanceId> mRemainingHolders;
        private final CompletableFuture<TokenGrant> mGrant;
        private InstanceId mCurrentHolder;
        private long mRequestedMs;

        PendingReservation(
                AccountId account,
                long tokens,
                long deadlineMs,
                Deque<InstanceId> reachableHolders,
                CompletableFuture<TokenGrant> result) {
            mAccount = account;
            mTokens = tokens;
            mDeadlineMs = deadlineMs;
            mRemainingHolders = reachableHolders;
            mGrant = result;
        }
    }
}
