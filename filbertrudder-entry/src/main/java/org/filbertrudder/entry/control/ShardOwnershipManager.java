package org.filbertrudder.entry.control;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.Json;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.AccountShareSnapshot;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ShardOwner;
import org.filbertrudder.policy.RendezvousHashing;
import org.filbertrudder.policy.membership.Membership;
import org.filbertrudder.policy.shards.ShardDirectory;
import org.filbertrudder.policy.shards.ShardPlan;
import org.filbertrudder.policy.shards.ShardPlanner;
import org.filbertrudder.policy.shards.TakeoverEvidence;
import org.filbertrudder.policy.tokens.TokenHolder;
import org.filbertrudder.store.KeyValue;
import org.filbertrudder.store.Store;
import org.filbertrudder.store.StoreException;
import org.filbertrudder.store.StoreListing;
import org.filbertrudder.store.Transaction;
import org.filbertrudder.store.TransactionResult;

/**
 * Claims, validates and hands over the shards of this region by compare-and-swap of their ownership
 * records in the store.
 */
final class ShardOwnershipManager {

    private static final ComponentLogger LOG = ComponentLogger.of("shards");
    private static final long MIN_STABLE_MS = 4_000;

    private final Context mContext;
    private final Store mStore;
    private final Membership mMembership;
    private final ShardDirectory mShardDirectory;
    private final TokenHolder mTokenHolder;
    private final TokenReservationService mTokenReservations;
    private final ShardPlanner mPlanner;
    private final LongSupplier mClockMs;
    private final MessageSender mMessageSender;
    private final Map<Integer, PeerMessage.ShardHandover> mReceivedHandovers = new HashMap<>();
    private final Map<Integer, PendingRelease> mPendingReleases = new HashMap<>();
    private final Set<Integer> mPendingWrites = new HashSet<>();
    private boolean mOwnersRead;
    private boolean mReadPending;

    ShardOwnershipManager(
            Context context,
            Store store,
            Membership membership,
            ShardDirectory shardDirectory,
            TokenHolder tokenHolder,
            TokenReservationService tokenReservations,
            ShardPlanner planner,
            LongSupplier clockMs,
            MessageSender messageSender) {
        mContext = context;
        mStore = store;
        mMembership = membership;
        mShardDirectory = shardDirectory;
        mTokenHolder = tokenHolder;
        mTokenReservations = tokenReservations;
        mPlanner = planner;
        mClockMs = clockMs;
        mMessageSender = messageSender;
    }

    /**
     * Claims and releases shards by plan; the evidence tells which previous owners have terminated.
     */
    void tick(TakeoverEvidence evidence) {
        if (!mOwnersRead || mTokenHolder.isSuspended()) {
            readOwners();
            return;
        }
        List.copyOf(mPendingReleases.values()).forEach(this::writeRelease);
        long nowMs = mClockMs.getAsLong();
        Member self = mMembership.self();
        ShardPlan plan =
                mPlanner.plan(
                        self,
                        mTokenHolder.heldShards(),
                        stableMembers(nowMs),
                        mShardDirectory,
                        owner -> isPreviousIncarnation(owner) || evidence.hasTerminated(owner));
        plan.claims().forEach(this::claimShard);
        plan.releases().stream()
                .filter(release -> !mPendingReleases.containsKey(release.currentOwner().shard()))
                .forEach(release -> release(release.currentOwner(), release.successor()));
    }

    /** Returns whether the owner is a previous process of this instance, by its incarnation. */
    private boolean isPreviousIncarnation(ShardOwner owner) {
        return owner.owner().equals(mMembership.self().id())
                && owner.incarnation() < mMembership.self().incarnation()
                && !mTokenHolder.heldShards().contains(owner.shard());
    }

    private List<Member> stableMembers(long nowMs) {
        return mMembership.membersAcceptingWorkIn(mMembership.self().region()).stream()
                .filter(
                        member ->
                                member.id().equals(mMembership.self().id())
                                        || timeInStateMs(member, nowMs) >= MIN_STABLE_MS)
                .toList();
    }

    private long timeInStateMs(Member member, long nowMs) {
        return nowMs - mMembership.stateSinceMs(member.id()).orElse(nowMs);
    }

    private void readOwners() {
        if (mReadPending) {
            return;
        }
        mReadPending = true;
        mStore.list(StoreKeys.shardsPrefix(mMembership.self().region()))
                .map(StoreListing::items)
                .emitOn(this::execute)
                .subscribe()
                .with(this::handleOwners, failure -> execute(() -> mReadPending = false));
    }

    private void handleOwners(List<KeyValue> keyValues) {
        mReadPending = false;
        mOwnersRead = true;
        recordOwners(keyValues.stream().map(ShardOwnershipManager::parseOwner).toList());
        if (mTokenHolder.isSuspended()) {
            validateHeldShards(keyValues);
        }
    }

    /**
     * Releases shards that another instance acquired while this process was paused, then resumes.
     */
    private void validateHeldShards(List<KeyValue> keyValues) {
        for (int shard : mTokenHolder.heldShards()) {
            boolean stillOwned =
                    keyValues.stream()
                            .map(ShardOwnershipManager::parseOwner)
                            .anyMatch(owner -> owner.shard() == shard && isOwnedHere(owner));
            if (!stillOwned) {
                LOG.warn(
                        "The ownership of a shard was lost during a pause.",
                        LogField.of("shard", shard));
                mTokenReservations.apply(mTokenHolder.release(shard));
            }
        }
        mTokenHolder.resumeAfterValidation(mClockMs.getAsLong());
        LOG.info(
                "The shards were validated after a pause.",
                LogField.of("held", mTokenHolder.heldShards()));
    }

    private boolean isOwnedHere(ShardOwner owner) {
        return owner.owner().equals(mMembership.self().id()) && !owner.released();
    }

    private static ShardOwner parseOwner(KeyValue keyValue) {
        return Json.read(keyValue.value(), ShardOwner.class);
    }

    private void recordOwners(ShardOwner owner) {
        recordOwners(List.of(owner));
    }

    private void recordOwners(List<ShardOwner> owners) {
        List<ShardOwner> newRecords = mShardDirectory.merge(owners);
        if (!newRecords.isEmpty()) {
            mMessageSender.broadcast(new PeerMessage.ShardUpdates(newRecords));
        }
    }

    private void claimShard(ShardPlan.Claim claim) {
        int shard = claim.newOwner().shard();
        if (!mPendingWrites.add(shard)) {
            return;
        }
        compareAndSwap(claim.newOwner(), claim.previousOwner())
                .subscribe()
                .with(
                        swapped -> {
                            mPendingWrites.remove(shard);
                            if (swapped) {
                                shardAcquired(claim);
                            }
                        },
                        failure -> execute(() -> mPendingWrites.remove(shard)));
    }

    /**
     * Replaces the ownership record in the store if it equals the expected one or does not exist.
     */
    private Uni<Boolean> compareAndSwap(ShardOwner newOwner, ShardOwner expected) {
        String key = StoreKeys.shard(newOwner.region(), newOwner.shard());
        return mStore.get(key)
                .onFailure(StoreException.class)
                .transform(ShardOwnershipManager::asNotDone)
                .emitOn(this::execute)
                .flatMap(
                        keyValues -> {
                            ShardOwner stored =
                                    keyValues.isEmpty() ? null : parseOwner(keyValues.get(0));
                            if (newOwner.equals(stored)) {
                                return Uni.createFrom().item(true);
                            }
                            if (stored != null && !stored.equals(expected)) {
                                recordOwners(stored);
                                return Uni.createFrom().item(false);
                            }
                            long modRevision =
                                    keyValues.isEmpty() ? 0 : keyValues.get(0).modRevision();
                            return writeIfUnchanged(key, newOwner, modRevision);
                        });
    }

    /** Marks the failure of a read as not done, because a read has no effect on the store. */
    private static StoreException asNotDone(Throwable failure) {
        return new StoreException(StoreException.Kind.NOT_DONE, failure.getMessage(), failure);
    }

    private Uni<Boolean> writeIfUnchanged(String key, ShardOwner newOwner, long modRevision) {
        return mStore.commit(
                        Transaction.builder()
                                .ifUnchanged(key, modRevision)
                                .put(key, Json.write(newOwner))
                                .build())
                .map(TransactionResult::succeeded)
                .emitOn(this::execute);
    }

    private void shardAcquired(ShardPlan.Claim claim) {
        ShardOwner newOwner = claim.newOwner();
        long nowMs = mClockMs.getAsLong();
        PeerMessage.ShardHandover handover = mReceivedHandovers.remove(newOwner.shard());
        ShardOwner previous = claim.previousOwner();
        if (previous == null) {
            mTokenHolder.acquireUnowned(newOwner.shard(), nowMs);
        } else if (handover != null && handover.epoch() == previous.epoch()) {
            mTokenHolder.acquireFromHandover(handover, nowMs);
        } else {
            mTokenHolder.acquireAfterFailure(newOwner.shard(), nowMs);
        }
        LOG.info(
                "This instance has acquired a shard.",
                LogField.of("shard", newOwner.shard()),
                LogField.of("epoch", newOwner.epoch()),
                LogField.of("handed", handover != null));
        recordOwners(newOwner);
    }

    /**
     * Starts to hand a shard over.
     *
     * <p>This instance keeps granting tokens of the shard until the store has or may have the
     * record of its release, so that the shard always has a holder while the store is unavailable.
     */
    private void release(ShardOwner held, InstanceId successor) {
        ShardOwner released =
                new ShardOwner(
                        held.region(),
                        held.shard(),
                        held.owner(),
                        held.incarnation(),
                        held.epoch(),
                        true);
        PendingRelease pendingRelease = new PendingRelease(held, released, successor);
        mPendingReleases.put(held.shard(), pendingRelease);
        writeRelease(pendingRelease);
    }

    private void writeRelease(PendingRelease pendingRelease) {
        int shard = pendingRelease.held().shard();
        if (!mPendingWrites.add(shard)) {
            return;
        }
        compareAndSwap(pendingRelease.released(), pendingRelease.held())
                .subscribe()
                .with(
                        ignored -> {
                            mPendingWrites.remove(shard);
                            mPendingReleases.remove(shard);
                            handOver(pendingRelease);
                            recordOwners(pendingRelease.released());
                        },
                        failure -> execute(() -> releaseFailed(pendingRelease, failure)));
    }

    /** Keeps the shard if the write had no effect; hands it over if the outcome is unknown. */
    private void releaseFailed(PendingRelease pendingRelease, Throwable failure) {
        int shard = pendingRelease.held().shard();
        mPendingWrites.remove(shard);
        boolean hadNoEffect =
                failure instanceof StoreException store
                        && store.kind() == StoreException.Kind.NOT_DONE;
        if (hadNoEffect) {
            mPendingReleases.remove(shard);
        } else {
            handOver(pendingRelease);
        }
    }

    /** Stops granting tokens and sends the token levels to the successor, unless done already. */
    private void handOver(PendingRelease pendingRelease) {
        ShardOwner held = pendingRelease.held();
        if (!mTokenHolder.heldShards().contains(held.shard())) {
            return;
        }
        List<AccountShareSnapshot> shares =
                mTokenHolder.shareSnapshots(held.shard(), mClockMs.getAsLong());
        mTokenReservations.apply(mTokenHolder.release(held.shard()));
        PeerMessage handover =
                new PeerMessage.ShardHandover(held.region(), held.shard(), held.epoch(), shares);
        mMembership
                .member(pendingRelease.successor())
                .ifPresent(member -> mMessageSender.send(member, handover));
    }

    /**
     * Hands over all shards before the instance stops; returns whether no shard or write remains.
     */
    boolean releaseAll() {
        Member self = mMembership.self();
        for (int shard : mTokenHolder.heldShards()) {
            Optional<ShardOwner> held = mShardDirectory.owner(self.region(), shard);
            Optional<Member> successor =
                    RendezvousHashing.first(
                            self.region() + "/" + shard,
                            mMembership.membersAcceptingWorkIn(self.region()),
                            member -> member.id().value());
            held.ifPresent(owner -> release(owner, successor.map(Member::id).orElse(self.id())));
        }
        List.copyOf(mPendingReleases.values()).forEach(this::writeRelease);
        return mTokenHolder.heldShards().isEmpty()
                && mPendingReleases.isEmpty()
                && mPendingWrites.isEmpty();
    }

    /**
     * Keeps the token levels from the previous owner until this instance has acquired the shard.
     */
    void handle(PeerMessage.ShardHandover handover) {
        mReceivedHandovers.put(handover.shard(), handover);
    }

    /**
     * Merges ownership records from another instance and releases shards that now have another
     * owner.
     *
     * @param forward forwards the records that were new to this instance
     * @return whether a shard of this region has been released
     */
    boolean handle(PeerMessage.ShardUpdates updates, Consumer<PeerMessage.ShardUpdates> forward) {
        List<ShardOwner> newRecords = mShardDirectory.merge(updates.owners());
        if (newRecords.isEmpty()) {
            return false;
        }
        for (ShardOwner owner : newRecords) {
            boolean held = mTokenHolder.heldShards().contains(owner.shard());
            if (owner.region().equals(mMembership.self().region()) && held && !isOwnedHere(owner)) {
                LOG.warn(
                        "A shard was released because it has another owner.",
                        LogField.of("shard", owner.shard()));
                mTokenReservations.apply(mTokenHolder.release(owner.shard()));
            }
        }
        forward.accept(new PeerMessage.ShardUpdates(newRecords));
        RegionId ownRegion = mMembership.self().region();
        return newRecords.stream()
                .anyMatch(owner -> owner.released() && owner.region().equals(ownRegion));
    }

    private void execute(Runnable action) {
        mContext.runOnContext(ignored -> action.run());
    }

    /** Sends shard messages to other instances. */
    interface MessageSender {

        /** Sends the message to all members. */
        void broadcast(PeerMessage message);

        /** Sends the message to one member. */
        void send(Member to, PeerMessage message);
    }

    private record PendingRelease(ShardOwner held, ShardOwner released, InstanceId successor) {}
}
