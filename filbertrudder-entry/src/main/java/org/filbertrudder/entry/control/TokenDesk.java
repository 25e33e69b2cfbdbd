package org.filbertrudder.entry.control;

import io.vertx.core.Context;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.filbertrudder.entry.control.TokensRefusedException.Kind;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.Link;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ReserveOutcome;
import org.filbertrudder.model.message.ShardOwner;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.policy.membership.Membership;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.policy.shards.ShardDirectory;
import org.filbertrudder.policy.tokens.Asker;
import org.filbertrudder.policy.tokens.ShareFractions;
import org.filbertrudder.policy.tokens.TokenEffect;
import org.filbertrudder.policy.tokens.TokenHolder;
import org.filbertrudder.policy.tokens.TokenSettings;

/**
 * Reserves tokens for the traffic threads at the holder of the account's share.
 *
 * <p>Asks the holder in this region first. Holders in other regions are asked only while this
 * region has none.
 */
public final class TokenDesk {

    private final Context mContext;
    private final TokenSettings mSettings;
    private final TokenHolder mHolder;
    private final ShardDirectory mDirectory;
    private final Membership mMembership;
    private final ConfigurationSync mSync;
    private final PeerNetwork mNetwork;
    private final LongSupplier mClockMs;
    private final Map<Long, Pending> mPending = new HashMap<>();
    private long mNextId = 1;

    TokenDesk(
            Context context,
            TokenSettings settings,
            TokenHolder holder,
            ShardDirectory directory,
            Membership membership,
            ConfigurationSync sync,
            PeerNetwork network,
            LongSupplier clockMs) {
        mContext = context;
        mSettings = settings;
        mHolder = holder;
        mDirectory = directory;
        mMembership = membership;
        mSync = sync;
        mNetwork = network;
        mClockMs = clockMs;
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
                    long nowMs = mClockMs.getAsLong();
                    Pending pending =
                            new Pending(account, tokens, nowMs + waitMs, holders(account), result);
                    askNext(pending);
                });
        return result;
    }

    /** Ends a reservation and returns its unused tokens; may be called from any thread. */
    public void settle(TokenGrant grant, long unusedTokens) {
        mContext.runOnContext(ignored -> settleNow(grant, unusedTokens));
    }

    private void settleNow(TokenGrant grant, long unusedTokens) {
        if (grant.holder().equals(mMembership.self().id())) {
            apply(
                    mHolder.settle(
                            grant.account(),
                            grant.reservation(),
                            unusedTokens,
                            mClockMs.getAsLong()));
            return;
        }
        PeerMessage message =
                new PeerMessage.Settle(grant.account(), grant.reservation(), unusedTokens);
        mMembership
                .member(grant.holder())
                .ifPresent(member -> mNetwork.send(PeerAddress.of(member), message));
    }

    /** Returns the live holders of the account's shares, this region's first, then by delay. */
    private Deque<InstanceId> holders(AccountId account) {
        Configuration configuration = mSync.current();
        RegionId here = mMembership.self().region();
        List<RegionId> regions = new ArrayList<>();
        configuration
                .account(account)
                .ifPresent(found -> regions.addAll(ShareFractions.regionsOf(found, configuration)));
        regions.sort(Comparator.comparingDouble(region -> delayMs(configuration, here, region)));
        Deque<InstanceId> holders = new ArrayDeque<>();
        for (RegionId region : regions) {
            ownerIn(region, account).ifPresent(member -> holders.add(member.id()));
        }
        return holders;
    }

    private static double delayMs(Configuration configuration, RegionId here, RegionId there) {
        if (here.equals(there)) {
            return -1;
        }
        return configuration.link(here, there).map(Link::delayMs).orElse(Double.MAX_VALUE);
    }

    private Optional<Member> ownerIn(RegionId region, AccountId account) {
        int shard = TokenHolder.shardOf(account, mSettings.shards());
        return mDirectory
                .owner(region, shard)
                .filter(owner -> !owner.released())
                .map(ShardOwner::owner)
                .flatMap(mMembership::member)
                .filter(member -> member.state() != MemberState.DEAD);
    }

    private void askNext(Pending pending) {
        InstanceId holder = pending.mHolders.pollFirst();
        long nowMs = mClockMs.getAsLong();
        if (holder == null || nowMs >= pending.mDeadlineMs) {
            pending.mResult.completeExceptionally(
                    new TokensRefusedException(Kind.UNAVAILABLE, 1_000));
            return;
        }
        long id = mNextId++;
        pending.mHolder = holder;
        pending.mAskedMs = nowMs;
        mPending.put(id, pending);
        if (holder.equals(mMembership.self().id())) {
            Asker asker = new Asker(holder, id);
            apply(
                    mHolder.reserve(
                            asker, pending.mAccount, pending.mTokens, pending.mDeadlineMs, nowMs));
            return;
        }
        PeerMessage request =
                new PeerMessage.ReserveRequest(
                        id, pending.mAccount, pending.mTokens, pending.mDeadlineMs - nowMs);
        mMembership
                .member(holder)
                .ifPresent(member -> mNetwork.send(PeerAddress.of(member), request));
    }

    /** Handles the request of another instance. */
    void handle(InstanceId from, PeerMessage.ReserveRequest request) {
        long nowMs = mClockMs.getAsLong();
        apply(
                mHolder.reserve(
                        new Asker(from, request.id()),
                        request.account(),
                        request.tokens(),
                        nowMs + request.deadlineMs(),
                        nowMs));
    }

    /** Handles the answer of another holder, or of this instance's own. */
    void handle(InstanceId from, PeerMessage.ReserveReply reply) {
        Pending pending = mPending.get(reply.id());
        if (pending == null || !from.equals(pending.mHolder)) {
            return;
        }
        mPending.remove(reply.id());
        if (reply.outcome() == ReserveOutcome.GRANTED) {
            granted(pending, from, reply);
        } else if (reply.outcome() == ReserveOutcome.NOT_HOLDER) {
            askNext(pending);
        } else {
            pending.mResult.completeExceptionally(refusal(reply));
        }
    }

    private void granted(Pending pending, InstanceId from, PeerMessage.ReserveReply reply) {
        TokenGrant grant =
                new TokenGrant(pending.mAccount, from, reply.reservation(), pending.mTokens);
        long ageMs = mClockMs.getAsLong() - pending.mAskedMs - reply.waitedMs();
        boolean tooOld = ageMs > mSettings.grantValidityMs();
        if (pending.mResult.isDone() || tooOld) {
            settleNow(grant, grant.tokens());
        }
        if (tooOld) {
            askNext(pending);
        } else {
            pending.mResult.complete(grant);
        }
    }

    private static TokensRefusedException refusal(PeerMessage.ReserveReply reply) {
        return switch (reply.outcome()) {
            case WAIT -> new TokensRefusedException(Kind.RATE_EXCEEDED, reply.retryAfterMs());
            case TOO_LARGE -> new TokensRefusedException(Kind.TOO_LARGE, 0);
            default -> new TokensRefusedException(Kind.UNAVAILABLE, reply.retryAfterMs());
        };
    }

    /** Carries out what the holder has decided. */
    void apply(List<TokenEffect> effects) {
        for (TokenEffect effect : effects) {
            if (effect instanceof TokenEffect.Reply reply) {
                sendReply(reply);
            } else if (effect instanceof TokenEffect.AskLoan loan) {
                askLoan(loan);
            }
        }
    }

    private void sendReply(TokenEffect.Reply reply) {
        InstanceId to = reply.to().instance();
        if (to.equals(mMembership.self().id())) {
            handle(to, reply.reply());
            return;
        }
        mMembership
                .member(to)
                .ifPresent(member -> mNetwork.send(PeerAddress.of(member), reply.reply()));
    }

    private void askLoan(TokenEffect.AskLoan loan) {
        Optional<Member> lender = ownerIn(loan.region(), loan.request().account());
        if (lender.isPresent()) {
            mNetwork.send(PeerAddress.of(lender.get()), loan.request());
            return;
        }
        PeerMessage.LoanGrant nothing =
                new PeerMessage.LoanGrant(loan.request().id(), loan.request().account(), 0, 0, 0);
        mContext.runOnContext(ignored -> apply(mHolder.loanGranted(nothing, mClockMs.getAsLong())));
    }

    /** Moves requests on whose holder has failed, and ends those that waited in vain. */
    void tick(long nowMs) {
        for (Map.Entry<Long, Pending> entry : List.copyOf(mPending.entrySet())) {
            Pending pending = entry.getValue();
            boolean late = nowMs > pending.mDeadlineMs + mSettings.grantValidityMs();
            if (late || holderDoubted(pending)) {
                mPending.remove(entry.getKey());
                askNext(pending);
            }
        }
    }

    private boolean holderDoubted(Pending pending) {
        return mMembership
                .member(pending.mHolder)
                .map(
                        member ->
                                member.state() == MemberState.SUSPECT
                                        || member.state() == MemberState.DEAD)
                .orElse(true);
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
