package org.filbertrudder.entry.control;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.LongSupplier;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.Json;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.policy.orders.OrderLease;
import org.filbertrudder.store.KeyValue;
import org.filbertrudder.store.StoreException;
import org.filbertrudder.store.StoreLease;
import org.filbertrudder.store.Transaction;
import org.filbertrudder.store.TransactionResult;
import org.filbertrudder.store.WatchableStore;

/**
 * Acquires, renews and releases the lease in the store under which one instance sends orders to one
 * service in one region.
 */
final class OrderLeaseManager {

    private static final ComponentLogger LOG = ComponentLogger.of("orders");
    private static final long LEASE_TERM_SECONDS = 15;
    private static final long LEASE_TERM_MS = LEASE_TERM_SECONDS * 1_000;
    private static final long RENEWAL_INTERVAL_MS = LEASE_TERM_MS / 3;
    private static final long ACQUIRE_RETRY_INTERVAL_MS = 2_000;

    private final Context mContext;
    private final WatchableStore mStore;
    private final String mSenderKey;
    private final String mFencingTokenKey;
    private final ServiceId mService;
    private final InstanceId mSelf;
    private final LongSupplier mClockMs;
    private final Runnable mOnAcquired;
    private OrderLease mLease;
    private StoreLease mStoreLease;
    private long mNextStoreCallMs;
    private boolean mStoreCallPending;

    OrderLeaseManager(
            Context context,
            WatchableStore store,
            RegionId region,
            ServiceId service,
            InstanceId self,
            LongSupplier clockMs,
            Runnable onAcquired) {
        mContext = context;
        mStore = store;
        mSenderKey = StoreKeys.orderSender(region, service);
        mFencingTokenKey = StoreKeys.orderFencingToken(region, service);
        mService = service;
        mSelf = self;
        mClockMs = clockMs;
        mOnAcquired = onAcquired;
    }

    /** Returns the lease that this instance holds; empty if there is none or it has expired. */
    Optional<OrderLease> lease() {
        return Optional.ofNullable(mLease).filter(lease -> !lease.isExpired(mClockMs.getAsLong()));
    }

    /** Acquires or renews the lease if this instance should send the orders; releases it if not. */
    void tick(boolean shouldSendOrders) {
        long nowMs = mClockMs.getAsLong();
        if (mLease != null && mLease.isExpired(nowMs)) {
            LOG.warn("The lease to send orders has expired.", LogField.of("service", mService));
            clearLease();
        }
        if (mStoreCallPending) {
            return;
        }
        if (!shouldSendOrders) {
            release();
        } else if (nowMs >= mNextStoreCallMs) {
            mNextStoreCallMs =
                    nowMs + (mLease == null ? ACQUIRE_RETRY_INTERVAL_MS : RENEWAL_INTERVAL_MS);
            if (mLease == null) {
                acquire(nowMs);
            } else {
                renew(nowMs);
            }
        }
    }

    private void clearLease() {
        mLease = null;
        mStoreLease = null;
    }

    /** Revokes the lease, so that another instance need not wait until it expires. */
    void release() {
        if (mStoreLease != null) {
            revokeLease(mStoreLease);
        }
        clearLease();
    }

    private void renew(long requestSentMs) {
        mStoreCallPending = true;
        mStore.renewLease(mStoreLease)
                .emitOn(this::execute)
                .subscribe()
                .with(
                        renewed -> {
                            mStoreCallPending = false;
                            if (!renewed) {
                                clearLease();
                            } else if (mLease != null) {
                                mLease = mLease.renewed(requestSentMs, LEASE_TERM_MS);
                            }
                        },
                        failure -> execute(() -> mStoreCallPending = false));
    }

    private void acquire(long requestSentMs) {
        mStoreCallPending = true;
        mStore.get(mSenderKey)
                .flatMap(keyValues -> keyValues.isEmpty() ? grantLeaseAndAcquire() : notAcquired())
                .emitOn(this::execute)
                .subscribe()
                .with(
                        acquired -> {
                            mStoreCallPending = false;
                            acquired.ifPresent(lease -> leaseAcquired(lease, requestSentMs));
                        },
                        failure -> execute(() -> mStoreCallPending = false));
    }

    private static Uni<Optional<AcquiredLease>> notAcquired() {
        return Uni.createFrom().item(Optional.empty());
    }

    /** Requests a lease and writes this instance as the sender under it; revokes it on failure. */
    private Uni<Optional<AcquiredLease>> grantLeaseAndAcquire() {
        return mStore.grantLease(LEASE_TERM_SECONDS)
                .flatMap(
                        lease ->
                                tryAcquire(lease)
                                        .invoke(acquired -> revokeIfNotAcquired(acquired, lease))
                                        .onFailure()
                                        .invoke(() -> revokeLease(lease)));
    }

    private void revokeIfNotAcquired(Optional<AcquiredLease> acquired, StoreLease lease) {
        if (acquired.isEmpty()) {
            revokeLease(lease);
        }
    }

    private void revokeLease(StoreLease lease) {
        mStore.revokeLease(lease).subscribe().with(ignored -> {}, failure -> {});
    }

    /** Writes this instance as the sender of orders, with the next fencing token. */
    private Uni<Optional<AcquiredLease>> tryAcquire(StoreLease lease) {
        return mStore.get(mFencingTokenKey)
                .flatMap(
                        keyValues -> {
                            long fencingTokenModRevision =
                                    keyValues.isEmpty() ? 0 : keyValues.get(0).modRevision();
                            return writeSender(
                                    lease,
                                    lastFencingToken(keyValues) + 1,
                                    fencingTokenModRevision);
                        });
    }

    private static long lastFencingToken(List<KeyValue> keyValues) {
        return keyValues.isEmpty() ? 0 : Long.parseLong(keyValues.get(0).value());
    }

    private Uni<Optional<AcquiredLease>> writeSender(
            StoreLease lease, long fencingToken, long fencingTokenModRevision) {
        String value = Json.write(new OrderSender(mSelf, UUID.randomUUID().toString()));
        Transaction transaction =
                Transaction.builder()
                        .ifUnchanged(mSenderKey, 0)
                        .ifUnchanged(mFencingTokenKey, fencingTokenModRevision)
                        .put(mSenderKey, value, lease.id())
                        .put(mFencingTokenKey, Long.toString(fencingToken))
                        .build();
        return mStore.commit(transaction)
                .map(TransactionResult::succeeded)
                .onFailure(StoreException.class)
                .recoverWithUni(failure -> isWritten(value))
                .map(
                        written ->
                                written
                                        ? Optional.of(new AcquiredLease(lease, fencingToken))
                                        : Optional.empty());
    }

    /** Reads the key to determine whether a write without a response took effect. */
    private Uni<Boolean> isWritten(String value) {
        return mStore.get(mSenderKey).map(keyValues -> hasValue(keyValues, value));
    }

    private static boolean hasValue(List<KeyValue> keyValues, String value) {
        return !keyValues.isEmpty() && keyValues.get(0).value().equals(value);
    }

    private void leaseAcquired(AcquiredLease acquired, long requestSentMs) {
        mStoreLease = acquired.lease();
        mLease = new OrderLease(acquired.fencingToken(), requestSentMs + LEASE_TERM_MS);
        mNextStoreCallMs = requestSentMs + RENEWAL_INTERVAL_MS;
        LOG.info(
                "This instance has acquired the lease to send orders.",
                LogField.of("service", mService),
                LogField.of("fence", acquired.fencingToken()));
        mOnAcquired.run();
    }

    private void execute(Runnable action) {
        mContext.runOnContext(ignored -> action.run());
    }

    private record AcquiredLease(StoreLease lease, long fencingToken) {}

    private record OrderSender(InstanceId instance, String attempt) {}
}
