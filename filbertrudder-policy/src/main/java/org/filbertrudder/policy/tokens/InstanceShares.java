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
import org.filbertrudder.policy.Rendezvous;

/**
 * Grants one instance's shares of the client accounts' contracts.
 *
 * <p>Each account has a few holders in each region, chosen by rendezvous hashing over the members
 * that are not known to be dead. All holders have equal shares of the contract, start them empty
 * and lend to each other, so the shares never add up to more than the contract. A member counts
 * until it is dead, which takes longer than an instance trusts keys without contact, so the share
 * of a lost holder is not used twice.
 */
public final class InstanceShares {

    /** How many holders an account has in each region, so that one may fail. */
    public static final int HOLDERS_PER_REGION = 2;

    /** Covers the time that news of a member takes to reach all others, in milliseconds. */
    private static final long START_DELAY_MS = 300;

    private final InstanceId mSelf;
    private final TokenSettings mSettings;
    private final Map<AccountId, AccountShare> mShares = new HashMap<>();
    private final Map<AccountId, Contract> mContracts = new HashMap<>();
    private final LoanBook mLoans;
    private final Map<AccountId, Map<RegionId, List<InstanceId>>> mHolders = new HashMap<>();
    private Map<RegionId, List<InstanceId>> mMembers = Map.of();

    /** Creates the shares of an instance that knows no contract and no member. */
    public InstanceShares(InstanceId self, TokenSettings settings) {
        mSelf = self;
        mSettings = settings;
        mLoans = new LoanBook(settings);
    }

    /** Adopts the contracts of all limited accounts; accounts that are missing have no limit. */
    public void setContracts(Map<AccountId, Contract> contracts, long nowMs) {
        mContracts.clear();
        mContracts.putAll(contracts);
        mHolders.keySet().retainAll(contracts.keySet());
        update(nowMs);
    }

    /** Adopts a new member table. */
    public void setMembers(Collection<Member> members, long nowMs) {
        Map<RegionId, List<InstanceId>> grouped = new TreeMap<>();
        members.stream()
                .filter(member -> member.state() != MemberState.DEAD)
                .forEach(
                        member ->
                                grouped.computeIfAbsent(member.region(), key -> new ArrayList<>())
                                        .add(member.id()));
        mMembers = grouped;
        mHolders.clear();
        update(nowMs);
    }

    private void update(long nowMs) {
        mShares.keySet().retainAll(mContracts.keySet());
        mContracts.forEach(
                (id, contract) -> {
                    List<InstanceId> holders = holders(id);
                    if (holders.contains(mSelf)) {
                        adopt(id, contract, 1.0 / holders.size(), nowMs);
                    } else {
                        mShares.remove(id);
                    }
                });
    }

    private void adopt(AccountId id, Contract contract, double fraction, long nowMs) {
        AccountShare share = mShares.get(id);
        if (share == null) {
            mShares.put(
                    id, new AccountShare(contract, fraction, mSettings, nowMs + START_DELAY_MS));
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

    /** Returns the holders of an account's shares in a region, in a fixed order. */
    public List<InstanceId> holdersIn(RegionId region, AccountId account) {
        return holdersByRegion(account).getOrDefault(region, List.of());
    }

    /** Returns the holders, which change only with the members; each request asks for them. */
    private Map<RegionId, List<InstanceId>> holdersByRegion(AccountId account) {
        return mHolders.computeIfAbsent(account, this::chooseHolders);
    }

    private Map<RegionId, List<InstanceId>> chooseHolders(AccountId account) {
        Map<RegionId, List<InstanceId>> holders = new TreeMap<>();
        mMembers.forEach(
                (region, members) ->
                        holders.put(
                                region,
                                Rendezvous.rank(account.value(), members, InstanceId::value)
                                        .stream()
                                        .limit(HOLDERS_PER_REGION)
                                        .toList()));
        return holders;
    }

    /** Answers a request for tokens now or, if it has to wait, by a later effect. */
    public List<TokenEffect> reserve(
            Asker asker, AccountId account, long tokens, long deadlineMs, long nowMs) {
        AccountShare share = mShares.get(account);
        if (share == null) {
            return List.of(reply(asker, ReserveOutcome.NOT_HOLDER));
        }
        if (share.neverFits(tokens)) {
            return List.of(reply(asker, ReserveOutcome.TOO_LARGE));
        }
        List<TokenEffect> effects = new ArrayList<>();
        if (tokens > share.level(nowMs) || share.hasWaiters()) {
            // A loan is asked for before the share judges whether the request can be met in time.
            effects.addAll(askLoans(account, share, tokens, nowMs));
        }
        effects.addAll(share.reserve(asker, tokens, deadlineMs, nowMs));
        return effects;
    }

    private static TokenEffect reply(Asker asker, ReserveOutcome outcome) {
        return new TokenEffect.Reply(
                asker, new PeerMessage.ReserveReply(asker.requestId(), outcome, 0, 1, 0));
    }

    /** Ends a reservation and returns its unused tokens. */
    public List<TokenEffect> settle(
            AccountId account, long reservation, long unusedTokens, long nowMs) {
        AccountShare share = mShares.get(account);
        if (share == null) {
            return List.of();
        }
        share.settle(reservation, unusedTokens, nowMs);
        return share.serve(nowMs);
    }

    /** Grants what has become possible and asks for the loans that are missing. */
    public List<TokenEffect> tick(long nowMs) {
        mLoans.expire(nowMs);
        List<TokenEffect> effects = new ArrayList<>();
        mShares.forEach(
                (id, share) -> {
                    if (share.wantsLoan(nowMs)) {
                        effects.addAll(askLoans(id, share, 0, nowMs));
                    }
                    if (share.hasWaiters()) {
                        effects.addAll(share.serve(nowMs));
                    }
                });
        return effects;
    }

    private List<TokenEffect> askLoans(
            AccountId id, AccountShare share, long newTokens, long nowMs) {
        List<InstanceId> lenders =
                holders(id).stream().filter(holder -> !holder.equals(mSelf)).toList();
        List<PeerMessage.LoanRequest> requests =
                mLoans.ask(id, share, newTokens, lenders.size(), nowMs);
        List<TokenEffect> effects = new ArrayList<>();
        for (int i = 0; i < requests.size(); i++) {
            effects.add(new TokenEffect.AskInstance(lenders.get(i), requests.get(i)));
        }
        return effects;
    }

    /** Lends what this instance can spare of an account; grants nothing if it holds no share. */
    public PeerMessage.LoanGrant lend(PeerMessage.LoanRequest request, long nowMs) {
        return mLoans.lend(request, mShares.get(request.account()), nowMs);
    }

    /** Adds a loan; one that was not asked for, is doubled or comes too late is ignored. */
    public List<TokenEffect> loanGranted(PeerMessage.LoanGrant grant, long nowMs) {
        AccountShare share = mShares.get(grant.account());
        return mLoans.granted(grant, share, nowMs) ? share.serve(nowMs) : List.of();
    }

    /** Returns the tokens that may be granted now, by account, for the state dump. */
    public Map<AccountId, Double> levels(long nowMs) {
        Map<AccountId, Double> levels = new TreeMap<>();
        mShares.forEach((id, share) -> levels.put(id, share.level(nowMs)));
        return levels;
    }
}
