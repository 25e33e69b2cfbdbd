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
import org.filbertrudder.model.message.AccountShareSnapshot;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ReserveOutcome;
import org.filbertrudder.policy.RendezvousHashing;

/**
 * Grants the tokens of the client accounts whose shards this instance holds in its region.
 *
 * <p>A long time without a tick means that the process was paused. Another instance may have taken
 * its shards over meanwhile, so the holder grants nothing until they have been validated.
 */
public final class TokenHolder {

    private static final int MAX_LENDERS = 4;

    private final RegionId mRegion;
    private final TokenSettings mSettings;
    private final Set<Integer> mShards = new TreeSet<>();
    private final Map<Integer, Long> mFillStartMsByShard = new HashMap<>();
    private final Map<AccountId, AccountShare> mShares = new HashMap<>();
    private final Set<AccountId> mActiveAccounts = new TreeSet<>();
    private final LoanTracker mLoans;
    private Configuration mConfiguration = Configuration.EMPTY;
    private long mLastTickMs;
    private boolean mSuspended;
    private boolean mIsolated;
    private boolean mBorrowingEnabled = true;

    /** Creates a holder without shards. */
    public TokenHolder(RegionId region, TokenSettings settings, long nowMs) {
        mRegion = region;
        mSettings = settings;
        mLoans = new LoanTracker(settings);
        mLastTickMs = nowMs;
    }

    /** Returns the shard that an account belongs to. */
    public static int shardOf(AccountId account, int shardCount) {
        return (int) (RendezvousHashing.weight("shard", account.value()) % shardCount);
    }

    /** Enables or disables borrowing from other regions; measurements disable it as a baseline. */
    public void setBorrowingEnabled(boolean enabled) {
        mBorrowingEnabled = enabled;
    }

    /** Applies the contracts of a new configuration. */
    public void setConfiguration(Configuration configuration, long nowMs) {
        boolean accountsChanged =
                configuration.lastChangeRevision(EntityKind.ACCOUNT) > mConfiguration.revision();
        mConfiguration = configuration;
        if (accountsChanged) {
            addMissingShares(nowMs);
        }
        Iterator<Map.Entry<AccountId, AccountShare>> entries = mShares.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<AccountId, AccountShare> entry = entries.next();
            Optional<Account> account = configuration.account(entry.getKey());
            if (account.isEmpty()) {
                entries.remove();
            } else {
                entry.getValue()
                        .setContract(account.get().contract(), fraction(account.get()), nowMs);
            }
        }
    }

    private double fraction(Account account) {
        return ShareFractions.of(account, mRegion, mConfiguration);
    }

    /** Starts to grant the tokens of a shard that has had no holder before. */
    public void acquireUnowned(int shard, long nowMs) {
        acquire(shard, nowMs);
    }

    /**
     * Starts to grant the tokens of a shard whose previous holder has failed.
     *
     * <p>The shares start empty and fill only after every loan that the previous holder may have
     * granted has ended.
     */
    public void acquireAfterFailure(int shard, long nowMs) {
        acquire(shard, nowMs + mSettings.lenderTermMs());
    }

    /** Starts to grant the tokens of a shard from the state that its last holder handed over. */
    public void acquireFromHandover(PeerMessage.ShardHandover handover, long nowMs) {
        acquire(handover.shard(), nowMs);
        for (AccountShareSnapshot snapshot : handover.shares()) {
            AccountShare share = mShares.get(snapshot.account());
            if (share != null) {
                share.restore(snapshot, nowMs);
            }
        }
    }

    private void acquire(int shard, long fillStartMs) {
        if (mShards.add(shard)) {
            mFillStartMsByShard.put(shard, fillStartMs);
            addMissingShares(fillStartMs);
        }
    }

    /** Creates the missing shares of accounts in held shards, after a shard or account is added. */
    private void addMissingShares(long nowMs) {
        for (Account account : mConfiguration.all(Account.class)) {
            int shard = shardOf(account.id(), mSettings.shards());
            if (mShards.contains(shard)) {
                mShares.computeIfAbsent(account.id(), id -> newShare(account, shard, nowMs));
            }
        }
    }

    /** Returns the state of a shard's shares, for the next holder. */
    public List<AccountShareSnapshot> shareSnapshots(int shard, long nowMs) {
        return mShares.entrySet().stream()
                .filter(entry -> shardOf(entry.getKey(), mSettings.shards()) == shard)
                .map(entry -> entry.getValue().toSnapshot(entry.getKey(), nowMs))
                .toList();
    }

    private AccountShare newShare(Account account, int shard, long nowMs) {
        long fillStartMs = Math.max(nowMs, mFillStartMsByShard.getOrDefault(shard, nowMs));
        return new AccountShare(account.contract(), fraction(account), mSettings, fillStartMs);
    }

    /** Stops granting the tokens of a shard and refuses its queued requests. */
    public List<TokenEffect> release(int shard) {
        List<TokenEffect> effects = new ArrayList<>();
        mShards.remove(shard);
        Iterator<Map.Entry<AccountId, AccountShare>> entries = mShares.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<AccountId, AccountShare> entry = entries.next();
            if (shardOf(entry.getKey(), mSettings.shards()) == shard) {
                effects.addAll(entry.getValue().refuseQueuedRequests(ReserveOutcome.NOT_HOLDER));
                entries.remove();
            }
        }
        return effects;
    }

    /** Returns the shards that this instance holds. */
    public Set<Integer> heldShards() {
        return Set.copyOf(mShards);
    }

    /**
     * Returns whether the holder was paused and must validate its shards before it grants again.
     */
    public boolean isSuspended() {
        return mSuspended;
    }

    /**
     * Stops granting while this instance has no contact to the others, or resumes it.
     *
     * @return the refusals of the queued requests
     */
    public List<TokenEffect> setIsolated(boolean isolated) {
        List<TokenEffect> effects = new ArrayList<>();
        if (isolated && !mIsolated) {
            mShares.values()
                    .forEach(
                            share ->
                                    effects.addAll(
                                            share.refuseQueuedRequests(ReserveOutcome.NOT_HOLDER)));
        }
        mIsolated = isolated;
        return effects;
    }

    private boolean isGrantingStopped() {
        return mSuspended || mIsolated;
    }

    /** Resumes granting after all held shards have been validated. */
    public void resumeAfterValidation(long nowMs) {
        mSuspended = false;
        mLastTickMs = nowMs;
    }

    /** Replies to a request for tokens, or queues it and replies by an effect of a later call. */
    public List<TokenEffect> reserve(
            TokenRequestKey requestKey, AccountId id, long tokens, long deadlineMs, long nowMs) {
        suspendAfterPause(nowMs);
        Optional<Account> account = mConfiguration.account(id);
        if (account.isEmpty()) {
            return refuse(requestKey, ReserveOutcome.UNKNOWN_ACCOUNT);
        }
        if (isGrantingStopped() || !mShards.contains(shardOf(id, mSettings.shards()))) {
            return refuse(requestKey, ReserveOutcome.NOT_HOLDER);
        }
        int shard = shardOf(id, mSettings.shards());
        AccountShare share =
                mShares.computeIfAbsent(id, key -> newShare(account.get(), shard, nowMs));
        if (share.exceedsBurst(tokens)) {
            return refuse(requestKey, ReserveOutcome.TOO_LARGE);
        }
        mActiveAccounts.add(id);
        List<TokenEffect> effects = new ArrayList<>();
        if (tokens > share.level(nowMs) || share.hasQueuedRequests()) {
            // Requested first, as otherwise the share may refuse what a loan would cover in time.
            List<TokenEffect> loanRequests = requestLoans(id, share, tokens, nowMs);
            effects.addAll(loanRequests);
        }
        effects.addAll(share.reserve(requestKey, tokens, deadlineMs, nowMs));
        return effects;
    }

    private static List<TokenEffect> refuse(TokenRequestKey requestKey, ReserveOutcome outcome) {
        return List.of(
                new TokenEffect.Reply(
                        requestKey,
                        new PeerMessage.ReserveReply(requestKey.requestId(), outcome, 0, 1, 0)));
    }

    /** Ends a reservation and refunds its unused tokens. */
    public List<TokenEffect> settle(AccountId id, long reservation, long unusedTokens, long nowMs) {
        AccountShare share = mShares.get(id);
        if (share == null) {
            return List.of();
        }
        share.settle(reservation, unusedTokens, nowMs);
        return isGrantingStopped() ? List.of() : share.processQueue(nowMs);
    }

    /** Grants queued requests where possible and requests loans where shares are too small. */
    public List<TokenEffect> tick(long nowMs) {
        suspendAfterPause(nowMs);
        mLastTickMs = nowMs;
        if (isGrantingStopped()) {
            return List.of();
        }
        mLoans.expirePending(nowMs);
        List<TokenEffect> effects = new ArrayList<>();
        for (AccountId id : List.copyOf(mActiveAccounts)) {
            AccountShare share = mShares.get(id);
            if (share == null || share.isIdle(nowMs)) {
                mActiveAccounts.remove(id);
                continue;
            }
            if (share.needsLoan(nowMs)) {
                effects.addAll(requestLoans(id, share, 0, nowMs));
            }
            if (share.hasQueuedRequests()) {
                effects.addAll(share.processQueue(nowMs));
            }
        }
        return effects;
    }

    private void suspendAfterPause(long nowMs) {
        if (nowMs - mLastTickMs > mSettings.maxPauseMs()) {
            mSuspended = true;
        }
    }

    private List<TokenEffect> requestLoans(
            AccountId id, AccountShare share, long newTokens, long nowMs) {
        if (!mBorrowingEnabled) {
            return List.of();
        }
        List<RegionId> lenders = lenders(id);
        List<PeerMessage.LoanRequest> requests =
                mLoans.requestFromLenders(id, share, newTokens, lenders.size(), nowMs);
        List<TokenEffect> effects = new ArrayList<>();
        for (int i = 0; i < requests.size(); i++) {
            effects.add(new TokenEffect.RequestLoanFromRegion(lenders.get(i), requests.get(i)));
        }
        return effects;
    }

    private List<RegionId> lenders(AccountId id) {
        return mConfiguration
                .account(id)
                .map(
                        account ->
                                RendezvousHashing.rank(
                                        id.value(),
                                        ShareFractions.regionsOf(account, mConfiguration),
                                        RegionId::value))
                .orElse(List.of())
                .stream()
                .filter(region -> !region.equals(mRegion))
                .limit(MAX_LENDERS)
                .toList();
    }

    /**
     * Lends what this region's share can spare; lends nothing without a share or while grants are
     * stopped.
     */
    public PeerMessage.LoanGrant lend(PeerMessage.LoanRequest request, long nowMs) {
        suspendAfterPause(nowMs);
        AccountShare share = isGrantingStopped() ? null : mShares.get(request.account());
        return mLoans.lend(request, share, nowMs);
    }

    /**
     * Adds a granted loan; ignores grants that were not requested, are duplicates or arrive late.
     */
    public List<TokenEffect> addGrantedLoan(PeerMessage.LoanGrant grant, long nowMs) {
        AccountShare share = mShares.get(grant.account());
        boolean added = mLoans.addGranted(grant, share, nowMs);
        return added && !isGrantingStopped() ? share.processQueue(nowMs) : List.of();
    }

    /** Returns the state of each account's share, for the state dump. */
    public List<AccountState> accountStates(long nowMs) {
        return mShares.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(
                        entry ->
                                new AccountState(
                                        entry.getKey(),
                                        entry.getValue().level(nowMs),
                                        entry.getValue().ratePerSecond(),
                                        entry.getValue().outstandingReservations()))
                .toList();
    }

    /**
     * State of the share of one account.
     *
     * @param account the client account
     * @param level the tokens that can be granted now
     * @param ratePerSecond the present rate including loans, in tokens per second
     * @param outstanding the number of reservations that have not ended
     */
    public record AccountState(
            AccountId account, double level, double ratePerSecond, int outstanding) {}
}
