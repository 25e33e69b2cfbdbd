package org.filbertrudder.policy.tokens;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Contract;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ReserveOutcome;
import org.filbertrudder.policy.RendezvousHashing;

/**
 * Grants this instance's shares of the client accounts' contracts.
 *
 * <p>Each account has a few holders in each region, chosen by rendezvous hashing over the members
 * that are not known to be dead. All holders have equal shares of the contract, start with empty
 * buckets and lend to each other, so the shares never add up to more than the contract. A member
 * remains a holder until it is declared dead. That takes longer than an instance without contact
 * continues to accept API keys, so the share of an unreachable holder is not used twice.
 */
public final class InstanceShares {

    /** Number of holders of an account in each region, so that one may fail. */
    public static final int HOLDERS_PER_REGION = 2;

    /**
     * Delay before a new share fills; covers the time a member change takes to reach all others.
     */
    private static final long FILL_DELAY_MS = 300;

    private final InstanceId mSelf;
    private final TokenSettings mSettings;
    private final Map<AccountId, AccountShare> mShares = new HashMap<>();
    private final Map<AccountId, Contract> mContracts = new HashMap<>();
    private final LoanTracker mLoans;
    private final Map<AccountId, Map<RegionId, List<InstanceId>>> mHoldersByAccount =
            new HashMap<>();
    private Map<RegionId, List<InstanceId>> mMembersByRegion = Map.of();

    /** Creates the shares of an instance without contracts and members. */
    public InstanceShares(InstanceId self, TokenSettings settings) {
        mSelf = self;
        mSettings = settings;
        mLoans = new LoanTracker(settings);
    }

    /**
     * Sets the contracts of the accounts that have a limit; other accounts are unlimited.
     *
     * @return the replies to the requests that waited for shares which are no longer held here
     */
    public List<TokenEffect> setContracts(Map<AccountId, Contract> contracts, long nowMs) {
        mContracts.clear();
        mContracts.putAll(contracts);
        mHoldersByAccount.keySet().retainAll(contracts.keySet());
        return updateShares(nowMs);
    }

    /**
     * Replaces the members from which the holders are chosen.
     *
     * @return the replies to the requests that waited for shares which are no longer held here
     */
    public List<TokenEffect> setMembers(Collection<Member> members, long nowMs) {
        Map<RegionId, List<InstanceId>> membersByRegion = new TreeMap<>();
        members.stream()
                .filter(member -> member.state() != MemberState.DEAD)
                .forEach(
                        member ->
                                membersByRegion
                                        .computeIfAbsent(member.region(), key -> new ArrayList<>())
                                        .add(member.id()));
        mMembersByRegion = membersByRegion;
        mHoldersByAccount.clear();
        return updateShares(nowMs);
    }

    private List<TokenEffect> updateShares(long nowMs) {
        List<TokenEffect> effects = new ArrayList<>();
        for (AccountId id : List.copyOf(mShares.keySet())) {
            if (!mContracts.containsKey(id) || !holders(id).contains(mSelf)) {
                effects.addAll(mShares.remove(id).refuseQueuedRequests(ReserveOutcome.NOT_HOLDER));
            }
        }
        mContracts.forEach(
                (id, contract) -> {
                    List<InstanceId> holders = holders(id);
                    if (holders.contains(mSelf)) {
                        updateShare(id, contract, 1.0 / holders.size(), nowMs);
                    }
                });
        return effects;
    }

    private void updateShare(AccountId id, Contract contract, double fraction, long nowMs) {
        AccountShare share = mShares.get(id);
        if (share == null) {
            mShares.put(id, new AccountShare(contract, fraction, mSettings, nowMs + FILL_DELAY_MS));
        } else {
            share.setContract(contract, fraction, nowMs);
        }
    }

    /** Returns the holders of an account's shares in all regions. */
    public List<InstanceId> holders(AccountId account) {
        List<InstanceId> holders = new ArrayList<>();
        holdersByRegion(account).values().forEach(holders::addAll);
        return holders;
    }

    /** Returns the holders of an account's shares in a region, in rendezvous order. */
    public List<InstanceId> holdersIn(RegionId region, AccountId account) {
        return holdersByRegion(account).getOrDefault(region, List.of());
    }

    /**
     * Returns the cached holders; every request needs them and they change only with the members.
     */
    private Map<RegionId, List<InstanceId>> holdersByRegion(AccountId account) {
        return mHoldersByAccount.computeIfAbsent(account, this::chooseHolders);
    }

    private Map<RegionId, List<InstanceId>> chooseHolders(AccountId account) {
        Map<RegionId, List<InstanceId>> holders = new TreeMap<>();
        mMembersByRegion.forEach(
                (region, members) ->
                        holders.put(
                                region,
                                RendezvousHashing.rank(account.value(), members, InstanceId::value)
                                        .stream()
                                        .limit(HOLDERS_PER_REGION)
                                        .toList()));
        return holders;
    }

    /** Replies to a request for tokens, or queues it and replies by an effect of a later call. */
    public List<TokenEffect> reserve(
            TokenRequestKey requestKey,
            AccountId account,
            long tokens,
            long deadlineMs,
            long nowMs) {
        AccountShare share = mShares.get(account);
        if (share == null) {
            return List.of(refusal(requestKey, ReserveOutcome.NOT_HOLDER));
        }
        if (share.exceedsBurst(tokens)) {
            return List.of(refusal(requestKey, ReserveOutcome.TOO_LARGE));
        }
        List<TokenEffect> effects = new ArrayList<>();
        if (tokens > share.level(nowMs) || share.hasQueuedRequests()) {
            // Requested first, as otherwise the share may refuse what a loan would cover in time.
            effects.addAll(requestLoans(account, share, tokens, nowMs));
        }
        effects.addAll(share.reserve(requestKey, tokens, deadlineMs, nowMs));
        return effects;
    }

    private static TokenEffect refusal(TokenRequestKey requestKey, ReserveOutcome outcome) {
        return new TokenEffect.Reply(
                requestKey, new PeerMessage.ReserveReply(requestKey.requestId(), outcome, 0, 1, 0));
    }

    /** Ends a reservation and refunds its unused tokens. */
    public List<TokenEffect> settle(
            AccountId account, long reservation, long unusedTokens, long nowMs) {
        AccountShare share = mShares.get(account);
        if (share == null) {
            return List.of();
        }
        share.settle(reservation, unusedTokens, nowMs);
        return share.processQueue(nowMs);
    }

    /** Grants queued requests where possible and requests loans where shares are too small. */
    public List<TokenEffect> tick(long nowMs) {
        mLoans.expirePending(nowMs);
        List<TokenEffect> effects = new ArrayList<>();
        mShares.forEach(
                (id, share) -> {
                    if (share.needsLoan(nowMs)) {
                        effects.addAll(requestLoans(id, share, 0, nowMs));
                    }
                    if (share.hasQueuedRequests()) {
                        effects.addAll(share.processQueue(nowMs));
                    }
                });
        return effects;
    }

    private List<TokenEffect> requestLoans(
            AccountId id, AccountShare share, long newTokens, long nowMs) {
        List<InstanceId> lenders =
                holders(id).stream().filter(holder -> !holder.equals(mSelf)).toList();
        List<PeerMessage.LoanRequest> requests =
                mLoans.requestFromLenders(id, share, newTokens, lenders.size(), nowMs);
        List<TokenEffect> effects = new ArrayList<>();
        for (int i = 0; i < requests.size(); i++) {
            effects.add(new TokenEffect.RequestLoanFromInstance(lenders.get(i), requests.get(i)));
        }
        return effects;
    }

    /** Lends what this instance's share can spare; lends nothing if it holds no share. */
    public PeerMessage.LoanGrant lend(PeerMessage.LoanRequest request, long nowMs) {
        return mLoans.lend(request, mShares.get(request.account()), nowMs);
    }

    /**
     * Adds a granted loan; ignores grants that were not requested, are duplicates or arrive late.
     */
    public List<TokenEffect> addGrantedLoan(PeerMessage.LoanGrant grant, long nowMs) {
        AccountShare share = mShares.get(grant.account());
        return mLoans.addGranted(grant, share, nowMs) ? share.processQueue(nowMs) : List.of();
    }

    /** Returns the tokens available in each account's share, for the state dump. */
    public Map<AccountId, Double> levels(long nowMs) {
        Map<AccountId, Double> levels = new TreeMap<>();
        mShares.forEach((id, share) -> levels.put(id, share.level(nowMs)));
        return levels;
    }
}
