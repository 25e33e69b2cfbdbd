package org.filbertrudder.gateway.control;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.StoreEra;
import org.filbertrudder.model.message.CrashRecord;
import org.filbertrudder.policy.retry.RequestDigest;
import org.filbertrudder.policy.retry.SuspectRequests;

/**
 * Keeps the records of refused requests in the store, so that they outlive a stop of all instances.
 *
 * <p>All records are one value, which each instance reads at its start and one instance writes when
 * a request is refused or no longer is. A write replaces only what its writer has seen, so that a
 * late one, or one of a second writer, loses nothing.
 */
final class CrashRecordStore {

    private static final ComponentLogger LOG = ComponentLogger.of("crashes");

    /** The most recent records that are stored; with three crashes each, about 150 KB. */
    private static final int MAX_RECORDS = 512;

    /** The interval at which changes are looked for. */
    private static final long CHECK_INTERVAL_MS = 250;

    /** The least time between two writes, in milliseconds; the platform charges for calls. */
    private static final long WRITE_INTERVAL_MS = 1_000;

    /** The delay before a failed call is repeated, in milliseconds. */
    private static final long RETRY_DELAY_MS = 2_000;

    private final Context mContext;
    private final StateSource mSource;
    private final SuspectRequests mRequests;
    private StoreEra mEra = StoreEra.UNREPORTED;
    private Set<RequestDigest> mStored = Set.of();
    private long mRevision;
    private boolean mRead;
    private boolean mCalling;
    private long mNextCallMs = Long.MIN_VALUE;

    CrashRecordStore(Context context, StateSource source, SuspectRequests requests) {
        mContext = context;
        mSource = source;
        mRequests = requests;
    }

    /** Returns whether the records that were stored at the start have been read. */
    boolean isRead() {
        return mRead;
    }

    /**
     * Reads the records until that has succeeded once, and writes those that have changed.
     *
     * @param isWriter returns whether this instance is the one that writes
     */
    void tick(BooleanSupplier isWriter, long nowMs) {
        checkEra();
        if (mCalling || nowMs < mNextCallMs) {
            return;
        }
        if (!mRead) {
            call("read", mSource.readCrashRecords(), this::applyStored);
        } else {
            mNextCallMs = nowMs + CHECK_INTERVAL_MS;
            writeChanged(isWriter, nowMs);
        }
    }

    /** Writes again if the store has returned from a copy, which may lack the records. */
    private void checkEra() {
        StoreEra era = mSource.era();
        if (era.isAfter(mEra) && !mEra.equals(StoreEra.UNREPORTED)) {
            mStored = Set.of();
            mRevision = 0;
        }
        mEra = era;
    }

    private void writeChanged(BooleanSupplier isWriter, long nowMs) {
        List<CrashRecord> refused = mRequests.refusedRecords(MAX_RECORDS, nowMs);
        Set<RequestDigest> digests = digestsOf(refused);
        if (digests.equals(mStored) || !isWriter.getAsBoolean()) {
            return;
        }
        mNextCallMs = nowMs + WRITE_INTERVAL_MS;
        call(
                "write",
                mSource.writeCrashRecords(refused, mRevision),
                stored -> {
                    if (!stored.written()) {
                        mNextCallMs = nowMs;
                    }
                    applyStored(stored);
                });
    }

    private void call(
            String name, Uni<StoredCrashRecords> call, Consumer<StoredCrashRecords> action) {
        mCalling = true;
        call.subscribe()
                .with(
                        stored ->
                                mContext.runOnContext(
                                        ignored -> {
                                            mCalling = false;
                                            action.accept(stored);
                                        }),
                        failure -> mContext.runOnContext(ignored -> noteFailure(name, failure)));
    }

    private void applyStored(StoredCrashRecords stored) {
        long nowMs = Clocks.steadyMs();
        if (!stored.written()) {
            stored.records().forEach(each -> mRequests.merge(each, nowMs));
        }
        mRead = true;
        mRevision = stored.revision();
        mStored = digestsOf(stored.records());
    }

    private void noteFailure(String call, Throwable failure) {
        mCalling = false;
        mNextCallMs = Clocks.steadyMs() + RETRY_DELAY_MS;
        LOG.warn(
                "The store call for refused requests has failed.",
                LogField.of("call", call),
                LogField.of("why", failure.getMessage()));
    }

    private static Set<RequestDigest> digestsOf(List<CrashRecord> records) {
        return records.stream()
                .map(each -> new RequestDigest(each.account(), each.bodySha256()))
                .collect(Collectors.toCollection(HashSet::new));
    }
}
