package org.filbertrudder.entry.control;

import io.vertx.core.Context;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
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

    private static final long RETRY_AFTER_MS = 1_000;

    private final Context mContext;
    private final TokenSettings mSettings;
    private final TokenHolder mHolder;
    private final ShardDirectory mDirectory;
    private final Membership mMembership;
    private final ConfigurationSync mSync;
    private final PeerNetwork mNetwork;
    private final LongSupplier mClockMs;
    private final Map<Long, PendingReservation> mPending = new HashMap<>();
    private final List<PendingReservation> mSearching = new ArrayList<>();
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
        PendingReservation pending =
                new PendingReservation(account, tokens, mClockMs.getAsLong(), waitMs);
        mContext.runOnContext(ignored -> search(pending));
        return pending.result();
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
    private List<InstanceId> holders(AccountId account) {
        Configuration configuration = mSync.current();
        RegionId here = mMembership.self().region();
        List<RegionId> regions = new ArrayList<>();
        configuration
                .account(account)
                .ifPresent(found -> regions.addAll(ShareFractions.regionsOf(found, configuration)));
        regions.sort(Comparator.comparingDouble(region -> delayMs(configuration, here, region)));
        List<InstanceId> holders = new ArrayList<>();
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

    /** Asks the present holders of the account's shares, one after the other. */
    private void search(PendingReservation pending) {
        pending.setHolders(holders(pending.account()), searchState(), mClockMs.getAsLong());
        askNext(pending);
    }

    /** Identifies what is known of owners and members. */
    private int searchState() {
        return Objects.hash(mDirectory.digest(), mMembership.version());
    }

    private void askNext(PendingReservation pending) {
        long nowMs = mClockMs.getAsLong();
        if (nowMs >= pending.deadlineMs()) {
            giveUp(pending);
        } else if (pending.moveToNextHolder(nowMs)) {
            ask(pending, nowMs);
        } else if (pending.maySearch(nowMs)) {
            mSearching.add(pending);
        } else {
            giveUp(pending);
        }
    }

    private static void giveUp(PendingReservation pending) {
        pending.result()
                .completeExceptionally(
                        new TokensRefusedException(Kind.UNAVAILABLE, RETRY_AFTER_MS));
    }

    private void ask(PendingReservation pending, long nowMs) {
        long id = mNextId++;
        InstanceId holder = pending.holder();
        mPending.put(id, pending);
        if (holder.equals(mMembership.self().id())) {
            Asker asker = new Asker(holder, id);
            apply(
                    mHolder.reserve(
                            asker,
                            pending.account(),
                            pending.tokens(),
                            pending.deadlineMs(),
                            nowMs));
            return;
        }
        PeerMessage request =
                new PeerMessage.ReserveRequest(
                        id, pending.account(), pending.tokens(), pending.deadlineMs() - nowMs);
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
        PendingReservation pending = mPending.get(reply.id());
        if (pending == null || !from.equals(pending.holder())) {
            return;
        }
        mPending.remove(reply.id());
        if (reply.outcome() == ReserveOutcome.GRANTED) {
            granted(pending, from, reply);
        } else if (reply.outcome() == ReserveOutcome.NOT_HOLDER) {
            askNext(pending);
        } else {
            pending.result().completeExceptionally(refusal(reply));
        }
    }

    private void granted(
            PendingReservation pending, InstanceId from, PeerMessage.ReserveReply reply) {
        TokenGrant grant =
                new TokenGrant(pending.account(), from, reply.reservation(), pending.tokens());
        long ageMs = mClockMs.getAsLong() - pending.askedMs() - reply.waitedMs();
        boolean tooOld = ageMs > mSettings.grantValidityMs();
        if (pending.result().isDone() || tooOld) {
            settleNow(grant, grant.tokens());
        }
        if (tooOld) {
            askNext(pending);
        } else {
            pending.result().complete(grant);
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
        for (Map.Entry<Long, PendingReservation> entry : List.copyOf(mPending.entrySet())) {
            PendingReservation pending = entry.getValue();
            boolean late = nowMs > pending.deadlineMs() + mSettings.grantValidityMs();
            if (late || holderDoubted(pending)) {
                mPending.remove(entry.getKey());
                askNext(pending);
            }
        }
        searchAgain(nowMs);
    }

    private void searchAgain(long nowMs) {
        int state = searchState();
        List<PendingReservation> waiting = List.copyOf(mSearching);
        mSearching.clear();
        for (PendingReservation pending : waiting) {
            if (!pending.maySearch(nowMs) || pending.searchDue(state, nowMs)) {
                search(pending);
            } else {
                mSearching.add(pending);
            }
        }
    }

    private boolean holderDoubted(PendingReservation pending) {
        return mMembership
                .member(pending.holder())
                .map(
                        member ->
                                member.state() == MemberState.SUSPECT
                                        || member.state() == MemberState.DEAD)
                .orElse(true);
    }
}
