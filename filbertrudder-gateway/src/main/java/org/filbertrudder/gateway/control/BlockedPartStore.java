package org.filbertrudder.gateway.control;

import io.vertx.core.Context;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.StoreEra;
import org.filbertrudder.model.message.PartEvidence;

/**
 * Keeps the blocked prompt parts in the store, so that they outlive a stop of all instances.
 *
 * <p>Each part is written once by one instance, read once by each instance at its start, and
 * deleted when it is allowed again. A store that has returned from a copy may lack what was written
 * and contain what was deleted, so both are repeated.
 */
public final class BlockedPartStore {

    private static final ComponentLogger LOG = ComponentLogger.of("crashes");

    /** The delay before a failed call is repeated, in milliseconds. */
    private static final long RETRY_DELAY_MS = 2_000;

    /**
     * How long a deletion is remembered, in milliseconds; longer than the age of a copy from which
     * the store returns.
     */
    private static final long DELETION_MEMORY_MS = 120_000;

    private final Context mContext;
    private final StateSource mSource;
    private final CompletableFuture<List<PartEvidence>> mStored = new CompletableFuture<>();
    private final Map<String, Long> mNextWriteMs = new HashMap<>();
    private final Map<String, Long> mNextDeleteMs = new HashMap<>();
    private final Map<String, Integer> mWrittenLosses = new HashMap<>();
    private final Map<String, Long> mDeletedMs = new HashMap<>();
    private StoreEra mEra = StoreEra.UNREPORTED;
    private boolean mReading;
    private long mNextReadMs = Long.MIN_VALUE;

    BlockedPartStore(Context context, StateSource source) {
        mContext = context;
        mSource = source;
    }

    /**
     * Completes on the control thread with the parts that were stored when the instance started.
     */
    public CompletableFuture<List<PartEvidence>> stored() {
        return mStored;
    }

    /** Reads the stored parts until that has succeeded once, and deletes those that are due. */
    void tick(long nowMs) {
        checkEra(nowMs);
        List.copyOf(mNextDeleteMs.entrySet()).stream()
                .filter(entry -> entry.getValue() <= nowMs)
                .forEach(entry -> delete(entry.getKey(), nowMs));
        if (mStored.isDone() || mReading || nowMs < mNextReadMs) {
            return;
        }
        mReading = true;
        mNextReadMs = nowMs + RETRY_DELAY_MS;
        mSource.readBlockedParts()
                .subscribe()
                .with(
                        found -> mContext.runOnContext(ignored -> mStored.complete(found)),
                        failure -> {
                            LOG.warn(
                                    "The blocked parts cannot be read from the store.",
                                    LogField.of("why", failure.getMessage()));
                            mContext.runOnContext(ignored -> mReading = false);
                        });
    }

    /** Repeats the writes and recent deletions if the store has returned from a copy. */
    private void checkEra(long nowMs) {
        StoreEra era = mSource.era();
        if (era.isAfter(mEra) && !mEra.equals(StoreEra.UNREPORTED)) {
            mWrittenLosses.clear();
            mDeletedMs.values().removeIf(deletedMs -> nowMs - deletedMs > DELETION_MEMORY_MS);
            mDeletedMs.keySet().forEach(part -> mNextDeleteMs.putIfAbsent(part, nowMs));
        }
        mEra = era;
    }

    /** Writes the parts that this instance has not written yet; may be called from any thread. */
    public void retain(Collection<PartEvidence> parts) {
        mContext.runOnContext(ignored -> parts.forEach(this::write));
    }

    private void write(PartEvidence evidence) {
        String part = evidence.part();
        long nowMs = Clocks.steadyMs();
        boolean written = mWrittenLosses.getOrDefault(part, 0) >= evidence.losses();
        if (written || nowMs < mNextWriteMs.getOrDefault(part, Long.MIN_VALUE)) {
            return;
        }
        mNextWriteMs.put(part, nowMs + RETRY_DELAY_MS);
        mNextDeleteMs.remove(part);
        mDeletedMs.remove(part);
        mSource.writeBlockedPart(evidence)
                .subscribe()
                .with(
                        done ->
                                mContext.runOnContext(
                                        ignored -> mWrittenLosses.put(part, evidence.losses())),
                        failure -> logFailure("write", part, failure));
    }

    /**
     * Deletes a part that is allowed again, if this instance has written it or is told to, as the
     * one that wrote it may have stopped; may be called from any thread.
     */
    public void remove(String part, boolean always) {
        mContext.runOnContext(
                ignored -> {
                    mNextWriteMs.remove(part);
                    boolean written = mWrittenLosses.remove(part) != null;
                    if (written || always) {
                        mNextDeleteMs.put(part, Clocks.steadyMs());
                    }
                });
    }

    private void delete(String part, long nowMs) {
        mNextDeleteMs.put(part, nowMs + RETRY_DELAY_MS);
        mSource.deleteBlockedPart(part)
                .subscribe()
                .with(
                        done -> mContext.runOnContext(ignored -> recordDeletion(part)),
                        failure -> logFailure("delete", part, failure));
    }

    private void recordDeletion(String part) {
        mNextDeleteMs.remove(part);
        mDeletedMs.put(part, Clocks.steadyMs());
    }

    private static void logFailure(String call, String part, Throwable failure) {
        LOG.warn(
                "The store did not take a blocked part.",
                LogField.of("call", call),
                LogField.of("part", part),
                LogField.of("why", failure.getMessage()));
    }
}
