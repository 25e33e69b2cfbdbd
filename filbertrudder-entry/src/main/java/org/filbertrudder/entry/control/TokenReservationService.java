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
import org.filbertrudder.policy.tokens.ShareFractions;
import org.filbertrudder.policy.tokens.TokenEffect;
import org.filbertrudder.policy.tokens.TokenHolder;
import org.filbertrudder.policy.tokens.TokenRequestKey;
import org.filbertrudder.policy.tokens.TokenSettings;

/**
 * Reserves tokens for the traffic threads at an instance that holds a share of the account's rate.
 *
 * <p>Sends the request to the holder in this region first. Holders in other regions are used only
 * while this region has none.
 */
public final class TokenReservationService {

    private static final long RETRY_AFTER_MS = 1_000;

    private final Context mContext;
    private final TokenSettings mSettings;
    private final TokenHolder mTokenHolder;
    private final ShardDirectory mShardDirectory;
    private final Membership mMembership;
    private final ConfigurationSync mConfigurationSync;
    private final PeerNetwork mPeerNetwork;
    private final LongSupplier mClockMs;
    private final Map<Long, PendingReservation> mPendingById = new HashMap<>();
    private final List<PendingReservation> mPendingSearches = new ArrayList<>();
    private long mNextRequestId = 1;

    TokenReservationService(
            Context context,
            TokenSettings settings,
            TokenHolder tokenHolder,
            ShardDirectory shardDirectory,
            Membership membership,
            ConfigurationSync configurationSync,
            PeerNetwork peerNetwork,
            LongSupplier clockMs) {
        mContext = context;
        mSettings = settings;
        mTokenHolder = tokenHolder;
        mShardDirectory = shardDirectory;
        mMembership = membership;
        mConfigurationSync = configurationSync;
        mPeerNetwork = peerNetwork;
        mClockMs = clockMs;
    }

    /**
     * Reserves tokens; may be called from any thread.
     *
     * @param account the client account
     * @param tokens the number of tokens
     * @param waitMs how long the request may wait for tokens, in milliseconds
     * @return the grant; fails with {@link TokensRefusedException}
     */
    public CompletableFuture<TokenGrant> reserve(AccountId account, long tokens, long waitMs) {
        PendingReservation pending =
                new PendingReservation(account, tokens, mClockMs.getAsLong(), waitMs);
        mContext.runOnContext(ignored -> findHolders(pending));
        return pending.result();
    }

    /** Ends a reservation and returns its unused tokens; may be called from any thread. */
    public void settle(TokenGrant grant, long unusedTokens) {
        mContext.runOnContext(ignored -> settleNow(grant, unusedTokens));
    }

    private void settleNow(TokenGrant grant, long unusedTokens) {
        if (grant.holder().equals(mMembership.self().id())) {
            apply(
                    mTokenHolder.settle(
                            grant.account(),
                            grant.reservation(),
                            unusedTokens,
                            mClockMs.getAsLong()));
            return;
        }
        PeerMessage message =
                new PeerMessage.ReservationSettlement(
                        grant.account(), grant.reservation(), unusedTokens);
        mMembership
                .member(grant.holder())
                .ifPresent(member -> mPeerNetwork.send(PeerAddress.of(member), message));
    }

    /**
     * Returns the holders of the account's shares that are not dead: that of this region first,
     * then by network delay.
     */
    private List<InstanceId> holders(AccountId account) {
        Configuration configuration = mConfigurationSync.current();
        RegionId ownRegion = mMembership.self().region();
        List<RegionId> regions = new ArrayList<>();
        configuration
                .account(account)
                .ifPresent(found -> regions.addAll(ShareFractions.regionsOf(found, configuration)));
        regions.sort(
                Comparator.comparingDouble(region -> delayMs(configuration, ownRegion, region)));
        List<InstanceId> holders = new ArrayList<>();
        for (RegionId region : regions) {
            nonDeadOwnerIn(region, account).ifPresent(member -> holders.add(member.id()));
        }
        return holders;
    }

    private static double delayMs(
            Configuration configuration, RegionId ownRegion, RegionId region) {
        if (ownRegion.equals(region)) {
            return -1;
        }
        return configuration.link(ownRegion, region).map(Link::delayMs).orElse(Double.MAX_VALUE);
    }

    private Optional<Member> nonDeadOwnerIn(RegionId region, AccountId account) {
        int shard = TokenHolder.shardOf(account, mSettings.shards());
        return mShardDirectory
                .owner(region, shard)
                .filter(owner -> !owner.released())
                .map(ShardOwner::owner)
                .flatMap(mMembership::member)
                .filter(member -> member.state() != MemberState.DEAD);
    }

    /**
     * Determines the current holders of the account's shares and sends the request to the first.
     */
    private void findHolders(PendingReservation pending) {
        pending.setHolders(
                holders(pending.account()), ownersAndMembersHash(), mClockMs.getAsLong());
        sendToNextHolder(pending);
    }

    /**
     * Returns a hash of the known shard owners and members; a different hash may mean a new holder.
     */
    private int ownersAndMembersHash() {
        return Objects.hash(mShardDirectory.digest(), mMembership.version());
    }

    private void sendToNextHolder(PendingReservation pending) {
        long nowMs = mClockMs.getAsLong();
        if (nowMs >= pending.deadlineMs()) {
            refuseUnavailable(pending);
        } else if (pending.selectNextHolder(nowMs)) {
            sendRequest(pending, nowMs);
        } else if (pending.isSearchAllowed(nowMs)) {
            mPendingSearches.add(pending);
        } else {
            refuseUnavailable(pending);
        }
    }

    private static void refuseUnavailable(PendingReservation pending) {
        pending.result()
                .completeExceptionally(
                        new TokensRefusedException(Kind.UNAVAILABLE, RETRY_AFTER_MS));
    }

    private void sendRequest(PendingReservation pending, long nowMs) {
        long id = mNextRequestId++;
        InstanceId holder = pending.currentHolder();
        mPendingById.put(id, pending);
        if (holder.equals(mMembership.self().id())) {
            TokenRequestKey requestKey = new TokenRequestKey(holder, id);
            apply(
                    mTokenHolder.reserve(
                            requestKey,
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
                .ifPresent(member -> mPeerNetwork.send(PeerAddress.of(member), request));
    }

    /** Handles a request for tokens from another instance. */
    void handle(InstanceId from, PeerMessage.ReserveRequest request) {
        long nowMs = mClockMs.getAsLong();
        apply(
                mTokenHolder.reserve(
                        new TokenRequestKey(from, request.id()),
                        request.account(),
                        request.tokens(),
                        nowMs + request.deadlineMs(),
                        nowMs));
    }

    /** Handles the reply of the holder, which may be this instance. */
    void handle(InstanceId from, PeerMessage.ReserveReply reply) {
        PendingReservation pending = mPendingById.get(reply.id());
        if (pending == null || !from.equals(pending.currentHolder())) {
            return;
        }
        mPendingById.remove(reply.id());
        if (reply.outcome() == ReserveOutcome.GRANTED) {
            completeGranted(pending, from, reply);
        } else if (reply.outcome() == ReserveOutcome.NOT_HOLDER) {
            sendToNextHolder(pending);
        } else {
            pending.result().completeExceptionally(toException(reply));
        }
    }

    private void completeGranted(
            PendingReservation pending, InstanceId from, PeerMessage.ReserveReply reply) {
        TokenGrant grant =
                new TokenGrant(pending.account(), from, reply.reservation(), pending.tokens());
        long ageMs = mClockMs.getAsLong() - pending.requestSentMs() - reply.waitedMs();
        boolean expired = ageMs > mSettings.grantValidityMs();
        if (pending.result().isDone() || expired) {
            settleNow(grant, grant.tokens());
        }
        if (expired) {
            sendToNextHolder(pending);
        } else {
            pending.result().complete(grant);
        }
    }

    private static TokensRefusedException toException(PeerMessage.ReserveReply reply) {
        return switch (reply.outcome()) {
            case WAIT -> new TokensRefusedException(Kind.RATE_EXCEEDED, reply.retryAfterMs());
            case TOO_LARGE -> new TokensRefusedException(Kind.TOO_LARGE, 0);
            default -> new TokensRefusedException(Kind.UNAVAILABLE, reply.retryAfterMs());
        };
    }

    /** Sends the replies and loan requests that the token holder of this instance has returned. */
    void apply(List<TokenEffect> effects) {
        for (TokenEffect effect : effects) {
            if (effect instanceof TokenEffect.Reply reply) {
                sendReply(reply);
            } else if (effect instanceof TokenEffect.RequestLoanFromRegion loanRequest) {
                requestLoan(loanRequest);
            }
        }
    }

    private void sendReply(TokenEffect.Reply reply) {
        InstanceId to = reply.requestKey().instance();
        if (to.equals(mMembership.self().id())) {
            handle(to, reply.reply());
            return;
        }
        mMembership
                .member(to)
                .ifPresent(member -> mPeerNetwork.send(PeerAddress.of(member), reply.reply()));
    }

    private void requestLoan(TokenEffect.RequestLoanFromRegion loanRequest) {
        Optional<Member> lender =
                nonDeadOwnerIn(loanRequest.region(), loanRequest.request().account());
        if (lender.isPresent()) {
            mPeerNetwork.send(PeerAddress.of(lender.get()), loanRequest.request());
            return;
        }
        PeerMessage.LoanGrant emptyGrant =
                new PeerMessage.LoanGrant(
                        loanRequest.request().id(), loanRequest.request().account(), 0, 0, 0);
        mContext.runOnContext(
                ignored -> apply(mTokenHolder.addGrantedLoan(emptyGrant, mClockMs.getAsLong())));
    }

    /** Retries requests whose holder has failed and refuses those whose deadline has passed. */
    void tick(long nowMs) {
        for (Map.Entry<Long, PendingReservation> entry : List.copyOf(mPendingById.entrySet())) {
            PendingReservation pending = entry.getValue();
            boolean overdue = nowMs > pending.deadlineMs() + mSettings.grantValidityMs();
            if (overdue || isHolderSuspectOrDead(pending)) {
                mPendingById.remove(entry.getKey());
                sendToNextHolder(pending);
            }
        }
        retrySearches(nowMs);
    }

    private void retrySearches(long nowMs) {
        int ownersAndMembersHash = ownersAndMembersHash();
        List<PendingReservation> searching = List.copyOf(mPendingSearches);
        mPendingSearches.clear();
        for (PendingReservation pending : searching) {
            if (!pending.isSearchAllowed(nowMs)
                    || pending.isSearchDue(ownersAndMembersHash, nowMs)) {
                findHolders(pending);
            } else {
                mPendingSearches.add(pending);
            }
        }
    }

    private boolean isHolderSuspectOrDead(PendingReservation pending) {
        return mMembership
                .member(pending.currentHolder())
                .map(
                        member ->
                                member.state() == MemberState.SUSPECT
                                        || member.state() == MemberState.DEAD)
                .orElse(true);
    }
}
