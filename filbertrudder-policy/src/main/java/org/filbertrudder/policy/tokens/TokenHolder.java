package org.filbertrudder.policy.tokens;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.filbertrudder.model.Account;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.EntityKind;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.HandedShare;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ReserveOutcome;
import org.filbertrudder.policy.Rendezvous;

/**
 * Grants the tokens of the account shards that this instance holds in its region.
 *
 * <p>A holder that has not been ticked for too long has been paused. Another instance may have
 * taken its shards over meanwhile, so it grants nothing until its shards have been validated.
 */
public final class TokenHolder {

    private static final int MAX_LENDERS_ASKED = 4;

    private final RegionId mRegion;
    private final TokenSettings mSettings;
    private final Set<Integer> mShards = new TreeSet<>();
    private final Map<Integer, Long> mStartsMs = new HashMap<>();
    private final Map<AccountId, AccountShare> mShares = new HashMap<>();
    private final Set<AccountId> mActive = new TreeSet<>();
    private final LoanBook mLoans;
    private Configuration mConfiguration = Configuration.EMPTY;
    private long mLastTickMs;
    private boolean mSuspended;
    private boolean mIsolated;
    private boolean mLendingEnabled = true;

    /** Creates a holder without shards. */
    public TokenHolder(RegionId region, TokenSettings settings, long nowMs) {
        mRegion = region;
        mSettings = settings;
        mLoans = new LoanBook(settings);
        mLastTickMs = nowMs;
    }

    /** Returns the shard that an account belongs to. */
    public static int shardOf(AccountId account, int shards) {
        return (int) (Rendezvous.weight("shard", account.value()) % shards);
    }

    /** Switches borrowing from other regions on or off; off is the baseline of measurements. */
    public void setLendingEnabled(boolean enabled) {
        mLendingEnabled = enabled;
    }

    /** Adopts new contracts. */
    public void setConfiguration(Configuration configuration, long nowMs) {
        boolean accountsChanged =
                configuration.lastChangeOf(EntityKind.ACCOUNT) > mConfiguration.revision();
        mConfiguration = configuration;
        if (accountsChanged) {
            addMissingShares(nowMs);
        }
        Iterator<Map.Entry<AccountId, AccountShare>> each = mShares.entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<AccountId, AccountShare> entry = each.next();
            Optional<Account> account = configuration.account(entry.getKey());
            if (account.isEmpty()) {
                each.remove();
            } else {
                entry.getValue()
                        .setContract(account.get().contract(), fraction(account.get()), nowMs);
            }
        }
    }

    private double fraction(Account account) {
        return ShareFractions.of(account, mRegion, mConfiguration);
    }

    /** Starts to grant the tokens of a shard that nobody has held before. */
    public void acquireFirst(int shard, long nowMs) {
        acquire(shard, nowMs);
    }

    /**
     * Starts to grant the tokens of a shard whose previous holder has failed.
     *
     * <p>The shares start empty and fill only once every loan that the previous holder may have
     * given has ended.
     */
    public void acquireAfterFailure(int shard, long nowMs) {
        acquire(shard, nowMs + mSettings.lenderTermMs());
    }

    /** Starts to grant the tokens of a shard with the levels that its last holder handed over. */
    public void acquireHanded(PeerMessage.ShardHandover handover, long nowMs) {
        acquire(handover.shard(), nowMs);
        for (HandedShare handed : handover.shares()) {
            AccountShare share = mShares.get(handed.account());
            if (share != null) {
                share.restore(handed, nowMs);
            }
        }
    }

    private void acquire(int shard, long startMs) {
        if (mShards.add(shard)) {
            mStartsMs.put(shard, startMs);
            addMissingShares(startMs);
        }
    }

    /** Adds the shares of accounts that came to be known after their shard was acquired. */
    private void addMissingShares(long nowMs) {
        for (Account account : mConfiguration.all(Account.class)) {
            int shard = shardOf(account.id(), mSettings.shards());
            if (mShards.contains(shard)) {
                mShares.computeIfAbsent(account.id(), id -> newShare(account, shard, nowMs));
            }
        }
    }

    /** Returns the levels of a shard for the instance that takes it over next. */
    public List<HandedShare> hand(int shard, long nowMs) {
        return mShares.entrySet().stream()
                .filter(entry -> shardOf(entry.getKey(), mSettings.shards()) == shard)
                .map(entry -> entry.getValue().hand(entry.getKey(), nowMs))
                .toList();
    }

    private AccountShare newShare(Account account, int shard, long nowMs) {
        long startMs = Math.max(nowMs, mStartsMs.getOrDefault(shard, nowMs));
        return new AccountShare(account.contract(), fraction(account), mSettings, startMs);
    }

    /** Stops granting the tokens of a shard and dismisses its waiting requests. */
    public List<TokenEffect> release(int shard) {
        List<TokenEffect> effects = new ArrayList<>();
        mShards.remove(shard);
        Iterator<Map.Entry<AccountId, AccountShare>> each = mShares.entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<AccountId, AccountShare> entry = each.next();
            if (shardOf(entry.getKey(), mSettings.shards()) == shard) {
                effects.addAll(entry.getValue().dismissWaiters(ReserveOutcome.NOT_HOLDER));
                each.remove();
            }
        }
        return effects;
    }

    /** Returns the shards held. */
    public Set<Integer> shards() {
        return Set.copyOf(mShards);
    }

    /** Returns whether the holder must validate its shards before it grants again. */
    public boolean suspended() {
        return mSuspended;
    }

    /**
     * Stops or resumes granting because of lost or regained contact.
     *
     * @return the dismissals of the requests that waited
     */
    public List<TokenEffect> setIsolated(boolean isolated) {
        List<TokenEffect> effects = new ArrayList<>();
        if (isolated && !mIsolated) {
            mShares.values()
                    .forEach(
                            share ->
                                    effects.addAll(
                                            share.dismissWaiters(ReserveOutcome.NOT_HOLDER)));
        }
        mIsolated = isolated;
        return effects;
    }

    private boolean grantsNothing() {
        return mSuspended || mIsolated;
    }

    /** Resumes granting after all shards held have been validated. */
    public void validated(long nowMs) {
        mSuspended = false;
        mLastTickMs = nowMs;
    }

    /** Answers a request for tokens now or, if it has to wait, by a later effect. */
    public List<TokenEffect> reserve(
            Asker asker, AccountId id, long tokens, long deadlineMs, long nowMs) {
        notePause(nowMs);
        Optional<Account> account = mConfiguration.account(id);
        if (account.isEmpty()) {
            return refuse(asker, ReserveOutcome.UNKNOWN_ACCOUNT);
        }
        if (grantsNothing() || !mShards.contains(shardOf(id, mSettings.shards()))) {
            return refuse(asker, ReserveOutcome.NOT_HOLDER);
        }
        int shard = shardOf(id, mSettings.shards());
        AccountShare share =
                mShares.computeIfAbsent(id, key -> newShare(account.get(), shard, nowMs));
        if (share.neverFits(tokens)) {
            return refuse(asker, ReserveOutcome.TOO_LARGE);
        }
        mActive.add(id);
        List<TokenEffect> effects = new ArrayList<>();
        if (tokens > share.level(nowMs) || share.hasWaiters()) {
            // A loan is asked for before the share judges whether the request can be met in time.
            List<TokenEffect> asked = askLoans(id, share, tokens, nowMs);
            effects.addAll(asked);
        }
        effects.addAll(share.reserve(asker, tokens, deadlineMs, nowMs));
        return effects;
    }

    private static List<TokenEffect> refuse(Asker asker, ReserveOutcome outcome) {
        return List.of(
                new TokenEffect.Reply(
                        asker, new PeerMessage.ReserveReply(asker.requestId(), outcome, 0, 1, 0)));
    }

    /** Ends a reservation and returns its unused tokens. */
    public List<TokenEffect> settle(AccountId id, long reservation, long unusedTokens, long nowMs) {
        AccountShare share = mShares.get(id);
        if (share == null) {
            return List.of();
        }
        share.settle(reservation, unusedTokens, nowMs);
        return grantsNothing() ? List.of() : share.serve(nowMs);
    }

    /** Grants what has become possible and asks for the loans that are missing. */
    public List<TokenEffect> tick(long nowMs) {
        notePause(nowMs);
        mLastTickMs = nowMs;
        if (grantsNothing()) {
            return List.of();
        }
        mLoans.expire(nowMs);
        List<TokenEffect> effects = new ArrayList<>();
        for (AccountId id : List.copyOf(mActive)) {
            AccountShare share = mShares.get(id);
            if (share == null || share.idle(nowMs)) {
                mActive.remove(id);
                continue;
            }
            if (share.wantsLoan(nowMs)) {
                effects.addAll(askLoans(id, share, 0, nowMs));
            }
            if (share.hasWaiters()) {
                effects.addAll(share.serve(nowMs));
            }
        }
        return effects;
    }

    private void notePause(long nowMs) {
        if (nowMs - mLastTickMs > mSettings.maxPauseMs()) {
            mSuspended = true;
        }
    }

    private List<TokenEffect> askLoans(
            AccountId id, AccountShare share, long newTokens, long nowMs) {
        if (!mLendingEnabled) {
            return List.of();
        }
        List<RegionId> lenders = lenders(id);
        List<PeerMessage.LoanRequest> requests =
                mLoans.ask(id, share, newTokens, lenders.size(), nowMs);
        List<TokenEffect> effects = new ArrayList<>();
        for (int i = 0; i < requests.size(); i++) {
            effects.add(new TokenEffect.AskLoan(lenders.get(i), requests.get(i)));
        }
        return effects;
    }

    private List<RegionId> lenders(AccountId id) {
        return mConfiguration
                .account(id)
                .map(
                        account ->
                                Rendezvous.rank(
                                        id.value(),
                                        ShareFractions.regionsOf(account, mConfiguration),
                                        RegionId::value))
                .orElse(List.of())
                .stream()
                .filter(region -> !region.equals(mRegion))
                .limit(MAX_LENDERS_ASKED)
                .toList();
    }

    /** Lends what this region can spare of an account; grants nothing if it holds no share. */
    public PeerMessage.LoanGrant lend(PeerMessage.LoanRequest request, long nowMs) {
        notePause(nowMs);
        AccountShare share = grantsNothing() ? null : mShares.get(request.account());
        return mLoans.lend(request, share, nowMs);
    }

    /** Adds a loan; one that was not asked for, is doubled or comes too late is ignored. */
    public List<TokenEffect> loanGranted(PeerMessage.LoanGrant grant, long nowMs) {
        AccountShare share = mShares.get(grant.account());
        boolean added = mLoans.granted(grant, share, nowMs);
        return added && !grantsNothing() ? share.serve(nowMs) : List.of();
    }

    /** Returns the state of the accounts held, for the state dump. */
    public List<AccountState> accounts(long nowMs) {
        return mShares.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(
                        entry ->
                                new AccountState(
                                        entry.getKey(),
                                        entry.getValue().level(nowMs),
                                        entry.getValue().ratePerSecond(),
                                        entry.getValue().outstanding()))
                .toList();
    }

    /**
     * Describes the share of one account.
     *
     * @param account the client account
     * @param level the tokens that may be granted now
     * @param ratePerSecond the present rate with loans, in tokens per second
     * @param outstanding the number of reservations that have not ended
     */
    public record AccountState(
            AccountId account, double level, double ratePerSecond, int outstanding) {}
}
