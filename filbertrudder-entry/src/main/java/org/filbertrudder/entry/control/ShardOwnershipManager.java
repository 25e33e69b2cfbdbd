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
import org.filbertrudder.entry.log.Field;
import org.filbertrudder.entry.log.PartLog;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.Json;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.HandedShare;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ShardOwner;
import org.filbertrudder.policy.Rendezvous;
import org.filbertrudder.policy.membership.Membership;
import org.filbertrudder.policy.shards.ShardDirectory;
import org.filbertrudder.policy.shards.ShardPlan;
import org.filbertrudder.policy.shards.ShardPlanner;
import org.filbertrudder.policy.shards.TakeoverEvidence;
import org.filbertrudder.policy.tokens.TokenHolder;
import org.filbertrudder.store.KeyValue;
import org.filbertrudder.store.Store;
import org.filbertrudder.store.StoreException;
import org.filbertrudder.store.Transaction;
import org.filbertrudder.store.TransactionResult;

/** Claims, validates and hands over the shards of this region by compare-and-swap in the store. */
final class ShardKeeper {

    private static final PartLog LOG = PartLog.of("shards");
    private static final long SETTLE_MS = 4_000;

    private final Context mContext;
    private final Store mStore;
    private final Membership mMembership;
    private final ShardDirectory mDirectory;
    private final TokenHolder mHolder;
    private final TokenDesk mDesk;
    private final ShardPlanner mPlanner;
    private final LongSupplier mClockMs;
    private final Announcer mAnnouncer;
    private final Map<Integer, PeerMessage.ShardHandover> mHandovers = new HashMap<>();
    private final Map<Integer, Releasing> mReleasing = new HashMap<>();
    private final Set<Integer> mBusy = new HashSet<>();
    private boolean mOwnersRead;
    private boolean mReading;

    ShardKeeper(
            Context context,
            Store store,
            Membership membership,
            ShardDirectory directory,
            TokenHolder holder,
            TokenDesk desk,
            ShardPlanner planner,
            LongSupplier clockMs,
            Announcer announcer) {
        mContext = context;
        mStore = store;
        mMembership = membership;
        mDirectory = directory;
        mHolder = holder;
        mDesk = desk;
        mPlanner = planner;
        mClockMs = clockMs;
        mAnnouncer = announcer;
    }

    /** Does what is due; the evidence tells which previous owners are gone. */
    void tick(TakeoverEvidence evidence) {
        if (!mOwnersRead || mHolder.suspended()) {
            readOwners();
            return;
        }
        List.copyOf(mReleasing.values()).forEach(this::writeRelease);
        long nowMs = mClockMs.getAsLong();
        Member self = mMembership.self();
        ShardPlan plan =
                mPlanner.plan(
                        self,
                        mHolder.shards(),
                        settled(nowMs),
                        mDirectory,
                        owner -> isFormerSelf(owner) || evidence.isGone(owner));
        plan.claims().forEach(this::claim);
        plan.releases().stream()
                .filter(release -> !mReleasing.containsKey(release.held().shard()))
                .forEach(release -> release(release.held(), release.successor()));
    }

    /** Returns whether the owner is an earlier process under this instance's id. */
    private boolean isFormerSelf(ShardOwner owner) {
        return owner.owner().equals(mMembership.self().id())
                && owner.incarnation() < mMembership.self().incarnation()
                && !mHolder.shards().contains(owner.shard());
    }

    private List<Member> settled(long nowMs) {
        return mMembership.workingIn(mMembership.self().region()).stream()
                .filter(
                        member ->
                                member.id().equals(mMembership.self().id())
                                        || sinceMs(member, nowMs) >= SETTLE_MS)
                .toList();
    }

    private long sinceMs(Member member, long nowMs) {
        return nowMs - mMembership.stateSinceMs(member.id()).orElse(nowMs);
    }

    private void readOwners() {
        if (mReading) {
            return;
        }
        mReading = true;
        mStore.list(StoreKeys.shards(mMembership.self().region()))
                .emitOn(this::execute)
                .subscribe()
                .with(this::ownersRead, failure -> execute(() -> mReading = false));
    }

    private void ownersRead(List<KeyValue> found) {
        mReading = false;
        mOwnersRead = true;
        learn(found.stream().map(ShardKeeper::read).toList());
        if (mHolder.suspended()) {
            validate(found);
        }
    }

    /** Gives up the shards that another instance has taken while this one was paused. */
    private void validate(List<KeyValue> found) {
        for (int shard : mHolder.shards()) {
            boolean ours =
                    found.stream()
                            .map(ShardKeeper::read)
                            .anyMatch(owner -> owner.shard() == shard && isOurs(owner));
            if (!ours) {
                LOG.warn("A shard was lost during a pause.", Field.of("shard", shard));
                mDesk.apply(mHolder.release(shard));
            }
        }
        mHolder.validated(mClockMs.getAsLong());
        LOG.info("The shards are valid after a pause.", Field.of("held", mHolder.shards()));
    }

    private boolean isOurs(ShardOwner owner) {
        return owner.owner().equals(mMembership.self().id()) && !owner.released();
    }

    private static ShardOwner read(KeyValue keyValue) {
        return Json.read(keyValue.value(), ShardOwner.class);
    }

    private void learn(ShardOwner owner) {
        learn(List.of(owner));
    }

    private void learn(List<ShardOwner> owners) {
        List<ShardOwner> news = mDirectory.learn(owners);
        if (!news.isEmpty()) {
            mAnnouncer.announce(new PeerMessage.ShardUpdates(news));
        }
    }

    private void claim(ShardPlan.Claim claim) {
        int shard = claim.wanted().shard();
        if (!mBusy.add(shard)) {
            return;
        }
        swap(claim.wanted(), claim.previous())
                .subscribe()
                .with(
                        taken -> {
                            mBusy.remove(shard);
                            if (taken) {
                                acquired(claim);
                            }
                        },
                        failure -> execute(() -> mBusy.remove(shard)));
    }

    /** Replaces the record in the store if it still is the expected one. */
    private Uni<Boolean> swap(ShardOwner wanted, ShardOwner expected) {
        String key = StoreKeys.shard(wanted.region(), wanted.shard());
        return mStore.get(key)
                .onFailure(StoreException.class)
                .transform(ShardKeeper::nothingWritten)
                .emitOn(this::execute)
                .flatMap(
                        found -> {
                            ShardOwner stored = found.isEmpty() ? null : read(found.get(0));
                            if (wanted.equals(stored)) {
                                return Uni.createFrom().item(true);
                            }
                            if (stored != null && !stored.equals(expected)) {
                                learn(stored);
                                return Uni.createFrom().item(false);
                            }
                            long version = found.isEmpty() ? 0 : found.get(0).modRevision();
                            return put(key, wanted, version);
                        });
    }

    /** A read that got no answer has changed nothing. */
    private static StoreException nothingWritten(Throwable failure) {
        return new StoreException(StoreException.Kind.NOT_DONE, failure.getMessage(), failure);
    }

    private Uni<Boolean> put(String key, ShardOwner wanted, long version) {
        return mStore.commit(
                        Transaction.builder()
                                .ifUnchanged(key, version)
                                .put(key, Json.write(wanted))
                                .build())
                .map(TransactionResult::succeeded)
                .emitOn(this::execute);
    }

    private void acquired(ShardPlan.Claim claim) {
        ShardOwner wanted = claim.wanted();
        long nowMs = mClockMs.getAsLong();
        PeerMessage.ShardHandover handover = mHandovers.remove(wanted.shard());
        ShardOwner previous = claim.previous();
        if (previous == null) {
            mHolder.acquireFirst(wanted.shard(), nowMs);
        } else if (handover != null && handover.epoch() == previous.epoch()) {
            mHolder.acquireHanded(handover, nowMs);
        } else {
            mHolder.acquireAfterFailure(wanted.shard(), nowMs);
        }
        LOG.info(
                "A shard was taken.",
                Field.of("shard", wanted.shard()),
                Field.of("epoch", wanted.epoch()),
                Field.of("handed", handover != null));
        learn(wanted);
    }

    /**
     * Starts to hand a shard over.
     *
     * <p>The shard is granted here until the store has the record that it is released, so that it
     * is never without a holder while the store is out.
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
        Releasing releasing = new Releasing(held, released, successor);
        mReleasing.put(held.shard(), releasing);
        writeRelease(releasing);
    }

    private void writeRelease(Releasing releasing) {
        int shard = releasing.held().shard();
        if (!mBusy.add(shard)) {
            return;
        }
        swap(releasing.released(), releasing.held())
                .subscribe()
                .with(
                        done -> {
                            mBusy.remove(shard);
                            mReleasing.remove(shard);
                            handOver(releasing);
                            learn(releasing.released());
                        },
                        failure -> execute(() -> releaseFailed(releasing, failure)));
    }

    /** Keeps the shard if the write had no effect; stops granting if that is not known. */
    private void releaseFailed(Releasing releasing, Throwable failure) {
        int shard = releasing.held().shard();
        mBusy.remove(shard);
        boolean notDone =
                failure instanceof StoreException store
                        && store.kind() == StoreException.Kind.NOT_DONE;
        if (notDone) {
            mReleasing.remove(shard);
        } else {
            handOver(releasing);
        }
    }

    /** Stops granting and sends the levels to the successor, if that has not been done yet. */
    private void handOver(Releasing releasing) {
        ShardOwner held = releasing.held();
        if (!mHolder.shards().contains(held.shard())) {
            return;
        }
        List<HandedShare> shares = mHolder.hand(held.shard(), mClockMs.getAsLong());
        mDesk.apply(mHolder.release(held.shard()));
        PeerMessage handover =
                new PeerMessage.ShardHandover(held.region(), held.shard(), held.epoch(), shares);
        mMembership
                .member(releasing.successor())
                .ifPresent(member -> mAnnouncer.send(member, handover));
    }

    /** Hands all shards over before the instance stops; returns whether that is done. */
    boolean releaseAll() {
        Member self = mMembership.self();
        for (int shard : mHolder.shards()) {
            Optional<ShardOwner> held = mDirectory.owner(self.region(), shard);
            Optional<Member> successor =
                    Rendezvous.first(
                            self.region() + "/" + shard,
                            mMembership.workingIn(self.region()),
                            member -> member.id().value());
            held.ifPresent(owner -> release(owner, successor.map(Member::id).orElse(self.id())));
        }
        List.copyOf(mReleasing.values()).forEach(this::writeRelease);
        return mHolder.shards().isEmpty() && mReleasing.isEmpty() && mBusy.isEmpty();
    }

    /** Keeps the levels that the last owner of a shard hands over to this instance. */
    void handle(PeerMessage.ShardHandover handover) {
        mHandovers.put(handover.shard(), handover);
    }

    /**
     * Handles news of owners; gives up a shard that another instance holds by a newer epoch.
     *
     * @return whether a shard of this region has become free
     */
    boolean handle(PeerMessage.ShardUpdates updates, Consumer<PeerMessage.ShardUpdates> passOn) {
        List<ShardOwner> news = mDirectory.learn(updates.owners());
        if (news.isEmpty()) {
            return false;
        }
        for (ShardOwner owner : news) {
            boolean held = mHolder.shards().contains(owner.shard());
            if (owner.region().equals(mMembership.self().region()) && held && !isOurs(owner)) {
                LOG.warn("A shard has another owner.", Field.of("shard", owner.shard()));
                mDesk.apply(mHolder.release(owner.shard()));
            }
        }
        passOn.accept(new PeerMessage.ShardUpdates(news));
        RegionId here = mMembership.self().region();
        return news.stream().anyMatch(owner -> owner.released() && owner.region().equals(here));
    }

    private void execute(Runnable action) {
        mContext.runOnContext(ignored -> action.run());
    }

    /** Sends news to other instances. */
    interface Announcer {

        /** Sends the message to all members. */
        void announce(PeerMessage message);

        /** Sends the message to one member. */
        void send(Member to, PeerMessage message);
    }

    private record Releasing(ShardOwner held, ShardOwner released, InstanceId successor) {}
}
