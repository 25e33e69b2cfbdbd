package org.filbertrudder.entry.control;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.LongSupplier;
import org.filbertrudder.entry.log.Field;
import org.filbertrudder.entry.log.PartLog;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.Json;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.policy.orders.OrderLease;
import org.filbertrudder.store.KeyValue;
import org.filbertrudder.store.Store;
import org.filbertrudder.store.StoreException;
import org.filbertrudder.store.Transaction;
import org.filbertrudder.store.TransactionResult;

/** Holds the right to give orders to one service in one region, under a lease in the store. */
final class OrderLeaseKeeper {

    private static final PartLog LOG = PartLog.of("orders");
    private static final long TERM_SECONDS = 15;
    private static final long TERM_MS = TERM_SECONDS * 1_000;
    private static final long RENEWAL_MS = TERM_MS / 3;
    private static final long RETRY_MS = 2_000;

    private final Context mContext;
    private final Store mStore;
    private final String mGiverKey;
    private final String mFenceKey;
    private final ServiceId mService;
    private final InstanceId mSelf;
    private final LongSupplier mClockMs;
    private final Runnable mOnAcquired;
    private OrderLease mLease;
    private long mStoreLease;
    private long mNextCallMs;
    private boolean mBusy;

    OrderLeaseKeeper(
            Context context,
            Store store,
            RegionId region,
            ServiceId service,
            InstanceId self,
            LongSupplier clockMs,
            Runnable onAcquired) {
        mContext = context;
        mStore = store;
        mGiverKey = StoreKeys.orderGiver(region, service);
        mFenceKey = StoreKeys.orderFence(region, service);
        mService = service;
        mSelf = self;
        mClockMs = clockMs;
        mOnAcquired = onAcquired;
    }

    /** Returns the lease held; empty if there is none that still runs. */
    Optional<OrderLease> lease() {
        return Optional.ofNullable(mLease).filter(lease -> !lease.ended(mClockMs.getAsLong()));
    }

    /** Acquires or renews the lease if this instance is to give the orders; releases it if not. */
    void tick(boolean wanted) {
        long nowMs = mClockMs.getAsLong();
        if (mLease != null && mLease.ended(nowMs)) {
            LOG.warn("The lease has ended.", Field.of("service", mService));
            forget();
        }
        if (mBusy) {
            return;
        }
        if (!wanted) {
            release();
        } else if (nowMs >= mNextCallMs) {
            mNextCallMs = nowMs + (mLease == null ? RETRY_MS : RENEWAL_MS);
            if (mLease == null) {
                acquire(nowMs);
            } else {
                renew(nowMs);
            }
        }
    }

    private void forget() {
        mLease = null;
        mStoreLease = 0;
    }

    /** Gives the lease up, so that another instance need not wait for its end. */
    void release() {
        if (mStoreLease != 0) {
            end(mStoreLease);
        }
        forget();
    }

    private void renew(long askedMs) {
        mBusy = true;
        mStore.renewLease(mStoreLease)
                .emitOn(this::execute)
                .subscribe()
                .with(
                        alive -> {
                            mBusy = false;
                            if (!alive) {
                                forget();
                            } else if (mLease != null) {
                                mLease = mLease.renewed(askedMs, TERM_MS);
                            }
                        },
                        failure -> execute(() -> mBusy = false));
    }

    private void acquire(long askedMs) {
        mBusy = true;
        mStore.get(mGiverKey)
                .flatMap(found -> found.isEmpty() ? grantAndTake() : notTaken())
                .emitOn(this::execute)
                .subscribe()
                .with(
                        taken -> {
                            mBusy = false;
                            taken.ifPresent(each -> acquired(each, askedMs));
                        },
                        failure -> execute(() -> mBusy = false));
    }

    private static Uni<Optional<Taken>> notTaken() {
        return Uni.createFrom().item(Optional.empty());
    }

    /** Takes the right under a new lease; a lease that was granted in vain is ended. */
    private Uni<Optional<Taken>> grantAndTake() {
        return mStore.grantLease(TERM_SECONDS)
                .flatMap(
                        lease ->
                                take(lease)
                                        .invoke(taken -> endIfNotTaken(taken, lease))
                                        .onFailure()
                                        .invoke(() -> end(lease)));
    }

    private void endIfNotTaken(Optional<Taken> taken, long lease) {
        if (taken.isEmpty()) {
            end(lease);
        }
    }

    private void end(long lease) {
        mStore.revokeLease(lease).subscribe().with(done -> {}, failure -> {});
    }

    /** Writes this instance as the giver with the next fencing number. */
    private Uni<Optional<Taken>> take(long lease) {
        return mStore.get(mFenceKey)
                .flatMap(
                        found -> {
                            long version = found.isEmpty() ? 0 : found.get(0).modRevision();
                            return write(lease, lastFence(found) + 1, version);
                        });
    }

    private static long lastFence(List<KeyValue> found) {
        return found.isEmpty() ? 0 : Long.parseLong(found.get(0).value());
    }

    private Uni<Optional<Taken>> write(long lease, long fence, long fenceVersion) {
        String value = Json.write(new Giver(mSelf, UUID.randomUUID().toString()));
        Transaction transaction =
                Transaction.builder()
                        .ifUnchanged(mGiverKey, 0)
                        .ifUnchanged(mFenceKey, fenceVersion)
                        .put(mGiverKey, value, lease)
                        .put(mFenceKey, Long.toString(fence))
                        .build();
        return mStore.commit(transaction)
                .map(TransactionResult::succeeded)
                .onFailure(StoreException.class)
                .recoverWithUni(failure -> settle(value))
                .map(done -> done ? Optional.of(new Taken(lease, fence)) : Optional.empty());
    }

    /** Finds out by reading whether a write without an answer took effect. */
    private Uni<Boolean> settle(String value) {
        return mStore.get(mGiverKey).map(found -> isOurs(found, value));
    }

    private static boolean isOurs(List<KeyValue> found, String value) {
        return !found.isEmpty() && found.get(0).value().equals(value);
    }

    private void acquired(Taken taken, long askedMs) {
        mStoreLease = taken.lease();
        mLease = new OrderLease(taken.fence(), askedMs + TERM_MS);
        mNextCallMs = askedMs + RENEWAL_MS;
        LOG.info(
                "This instance gives the orders.",
                Field.of("service", mService),
                Field.of("fence", taken.fence()));
        mOnAcquired.run();
    }

    private void execute(Runnable action) {
        mContext.runOnContext(ignored -> action.run());
    }

    private record Taken(long lease, long fence) {}

    private record Giver(InstanceId instance, String attempt) {}
}
