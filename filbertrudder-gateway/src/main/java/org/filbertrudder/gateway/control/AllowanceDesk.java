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
import org.filbertrudder.entry.log.Field;
import org.filbertrudder.entry.log.PartLog;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ReserveOutcome;
import org.filbertrudder.policy.membership.Membership;
import org.filbertrudder.policy.tokens.Asker;
import org.filbertrudder.policy.tokens.InstanceShares;
import org.filbertrudder.policy.tokens.TokenEffect;

/** Reserves tokens for the traffic threads, here or at another holder of the account. */
public final class AllowanceDesk {

    private static final PartLog LOG = PartLog.of("allowance");

    /** How long another holder may let a request wait for tokens, in milliseconds. */
    private static final long REMOTE_WAIT_MS = 200;

    /** How long another holder may take to answer; covers two regions and a busy process. */
    private static final long ANSWER_TIMEOUT_MS = 400;

    private static final long RETRY_AFTER_MS = 1_000;

    private final Context mContext;
    private final Membership mMembership;
    private final InstanceShares mShares;
    private final Sender mSender;
    private final Map<Long, Pending> mPending = new HashMap<>();
    private long mNextId = 1;

    AllowanceDesk(Context context, Membership membership, InstanceShares shares, Sender sender) {
        mContext = context;
        mMembership = membership;
        mShares = shares;
        mSender = sender;
    }

    /**
     * Reserves tokens; may be called from any thread.
     *
     * @param waitMs how long the request may wait for tokens, in milliseconds
     * @return the grant; fails with {@link TokensRefusedException}
     */
    public CompletableFuture<TokenGrant> reserve(AccountId account, long tokens, long waitMs) {
        CompletableFuture<TokenGrant> result = new CompletableFuture<>();
        mContext.runOnContext(
                ignored -> {
                    long nowMs = Clocks.steadyMs();
                    Pending pending =
                            new Pending(account, tokens, nowMs + waitMs, holders(account), result);
                    askNext(pending, nowMs);
                });
        return result;
    }

    /** Returns unused tokens; may be called from any thread. */
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
                                new PeerMessage.Settle(
                                        grant.account(), grant.reservation(), unusedTokens));
                    }
                });
    }

    private InstanceId self() {
        return mMembership.self().id();
    }

    /** Returns the holders to ask: this instance first, then its region, then all others. */
    private Deque<InstanceId> holders(AccountId account) {
        RegionId here = mMembership.self().region();
        List<InstanceId> local = mShares.holdersIn(here, account);
        List<InstanceId> ordered = new ArrayList<>();
        if (local.contains(self())) {
            ordered.add(self());
        }
        local.stream().filter(id -> !ordered.contains(id)).forEach(ordered::add);
        mShares.holders(account).stream().filter(id -> !ordered.contains(id)).forEach(ordered::add);
        Deque<InstanceId> live = new ArrayDeque<>();
        ordered.stream().filter(this::mayAnswer).forEach(live::add);
        return live;
    }

    private boolean mayAnswer(InstanceId id) {
        return mMembership
                .member(id)
                .map(
                        member ->
                                member.state() == MemberState.LIVE
                                        || member.state() == MemberState.LEAVING)
                .orElse(false);
    }

    private void askNext(Pending pending, long nowMs) {
        pending.mHolder = pending.mHolders.pollFirst();
        pending.mAskedMs = nowMs;
        if (pending.mHolder == null || nowMs >= pending.mDeadlineMs) {
            pending.mResult.completeExceptionally(
                    new TokensRefusedException(
                            TokensRefusedException.Kind.UNAVAILABLE, RETRY_AFTER_MS));
            return;
        }
        long id = mNextId++;
        mPending.put(id, pending);
        if (pending.mHolder.equals(self())) {
            apply(
                    mShares.reserve(
                            new Asker(self(), id),
                            pending.mAccount,
                            pending.mTokens,
                            pending.mDeadlineMs,
                            nowMs));
        } else {
            mSender.send(
                    pending.mHolder,
                    new PeerMessage.ReserveRequest(
                            id,
                            pending.mAccount,
                            pending.mTokens,
                            Math.min(REMOTE_WAIT_MS, pending.mDeadlineMs - nowMs)));
        }
    }

    /** Handles the request of another instance. */
    void handle(InstanceId from, PeerMessage.ReserveRequest request) {
        long nowMs = Clocks.steadyMs();
        apply(
                mShares.reserve(
                        new Asker(from, request.id()),
                        request.account(),
                        request.tokens(),
                        nowMs + request.deadlineMs(),
                        nowMs));
    }

    /** Handles the answer of another holder, or of this instance's own share. */
    void handle(InstanceId from, PeerMessage.ReserveReply reply) {
        Pending pending = mPending.get(reply.id());
        if (pending == null || !from.equals(pending.mHolder)) {
            returnLate(from, reply);
            return;
        }
        mPending.remove(reply.id());
        if (reply.outcome() == ReserveOutcome.GRANTED) {
            pending.mResult.complete(
                    new TokenGrant(pending.mAccount, from, reply.reservation(), pending.mTokens));
        } else if (reply.outcome() == ReserveOutcome.NOT_HOLDER) {
            askNext(pending, Clocks.steadyMs());
        } else {
            pending.mResult.completeExceptionally(refusal(reply));
        }
    }

    /** Leaves tokens that were granted too late with the holder; they count as consumed there. */
    private static void returnLate(InstanceId from, PeerMessage.ReserveReply reply) {
        if (reply.outcome() == ReserveOutcome.GRANTED) {
            LOG.debug("Tokens were granted too late.", Field.of("holder", from));
        }
    }

    private static TokensRefusedException refusal(PeerMessage.ReserveReply reply) {
        return reply.outcome() == ReserveOutcome.TOO_LARGE
                ? new TokensRefusedException(TokensRefusedException.Kind.TOO_LARGE, 0)
                : new TokensRefusedException(
                        TokensRefusedException.Kind.RATE_EXCEEDED, reply.retryAfterMs());
    }

    /** Handles unused tokens that another instance returns. */
    void handle(PeerMessage.Settle message) {
        apply(
                mShares.settle(
                        message.account(),
                        message.reservation(),
                        message.unusedTokens(),
                        Clocks.steadyMs()));
    }

    /** Lends to another holder. */
    void handle(InstanceId from, PeerMessage.LoanRequest request) {
        mSender.send(from, mShares.lend(request, Clocks.steadyMs()));
    }

    /** Adds a loan of another holder. */
    void handle(PeerMessage.LoanGrant grant) {
        apply(mShares.loanGranted(grant, Clocks.steadyMs()));
    }

    private void apply(List<TokenEffect> effects) {
        for (TokenEffect effect : effects) {
            if (effect instanceof TokenEffect.Reply reply) {
                if (reply.to().instance().equals(self())) {
                    handle(self(), reply.reply());
                } else {
                    mSender.send(reply.to().instance(), reply.reply());
                }
            } else if (effect instanceof TokenEffect.AskInstance loan) {
                askLoan(loan);
            }
        }
    }

    /** Asks a lender; one that is known not to answer lends nothing. */
    private void askLoan(TokenEffect.AskInstance loan) {
        if (mayAnswer(loan.lender())) {
            mSender.send(loan.lender(), loan.request());
            return;
        }
        PeerMessage.LoanGrant nothing =
                new PeerMessage.LoanGrant(loan.request().id(), loan.request().account(), 0, 0, 0);
        mContext.runOnContext(ignored -> apply(mShares.loanGranted(nothing, Clocks.steadyMs())));
    }

    /** Grants what has become possible and asks further holders in place of silent ones. */
    void tick(long nowMs) {
        apply(mShares.tick(nowMs));
        List<Long> silent = new ArrayList<>();
        mPending.forEach(
                (id, pending) -> {
                    boolean remote = !self().equals(pending.mHolder);
                    if (remote && nowMs - pending.mAskedMs > ANSWER_TIMEOUT_MS) {
                        silent.add(id);
                    }
                });
        silent.forEach(
                id -> Optional.ofNullable(mPending.remove(id)).ifPresent(p -> askNext(p, nowMs)));
    }

    /** Sends messages to other instances by their ids. */
    @FunctionalInterface
    interface Sender {

        /** Sends a message; it is lost if the instance is not known. */
        void send(InstanceId to, PeerMessage message);
    }

    /** Holds a request for tokens that has not been answered. */
    private static final class Pending {

        private final AccountId mAccount;
        private final long mTokens;
        private final long mDeadlineMs;
        private final Deque<InstanceId> mHolders;
        private final CompletableFuture<TokenGrant> mResult;
        private InstanceId mHolder;
        private long mAskedMs;

        Pending(
                AccountId account,
                long tokens,
                long deadlineMs,
                Deque<InstanceId> holders,
                CompletableFuture<TokenGrant> result) {
            mAccount = account;
            mTokens = tokens;
            mDeadlineMs = deadlineMs;
            mHolders = holders;
            mResult = result;
        }
    }
}
