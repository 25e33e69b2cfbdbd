package org.filbertrudder.entry.control;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.Change;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.ConfigurationProblem;
import org.filbertrudder.model.ConfigurationValidator;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.configuration.AdoptionResult;
import org.filbertrudder.policy.configuration.ConfigurationLog;

/**
 * Synchronizes the configuration of this instance with the newest accepted revision, through the
 * store and the other instances.
 */
final class ConfigurationSync {

    private static final ComponentLogger LOG = ComponentLogger.of("configuration");
    private static final int RETAINED_CHANGES = 512;
    private static final long POLL_INTERVAL_MS = 5_000;
    private static final long WATCH_RETRY_INTERVAL_MS = 1_000;

    private final Context mContext;
    private final ConfigurationStore mStore;
    private final ConfigurationLog mChangeLog = new ConfigurationLog(RETAINED_CHANGES);
    private final AdoptionListener mAdoptionListener;
    private final Set<InstanceId> mRequestedFrom = new HashSet<>();
    private Runnable mCloseWatch;
    private boolean mWatching;
    private boolean mCatchingUp;
    private boolean mStoreRead;
    private long mNextWatchMs;
    private long mNextPollMs;

    ConfigurationSync(
            Context context, ConfigurationStore store, AdoptionListener adoptionListener) {
        mContext = context;
        mStore = store;
        mAdoptionListener = adoptionListener;
    }

    Configuration current() {
        return mChangeLog.current();
    }

    ConfigurationLog changeLog() {
        return mChangeLog;
    }

    /** Returns whether a configuration is in force, or the store has been read and holds none. */
    boolean isReady() {
        return current().revision() > 0 || (mStoreRead && !mCatchingUp);
    }

    /** Watches and polls the store if this instance is a relay; others only read it initially. */
    void tick(boolean isRelay, long nowMs) {
        if (isRelay && !mWatching && nowMs >= mNextWatchMs) {
            mWatching = true;
            mNextWatchMs = nowMs + WATCH_RETRY_INTERVAL_MS;
            mCloseWatch =
                    mStore.watchChanges(
                            change -> mContext.runOnContext(ignored -> offer(change, null)),
                            () -> mContext.runOnContext(ignored -> mWatching = false));
        } else if (!isRelay && mWatching) {
            mWatching = false;
            mCloseWatch.run();
        }
        boolean pollDue = isRelay || !mStoreRead;
        if (pollDue && nowMs >= mNextPollMs) {
            mNextPollMs = nowMs + POLL_INTERVAL_MS;
            catchUp();
        }
    }

    /** Loads the revisions after the one in force, unless a load is already running. */
    void catchUp() {
        if (mCatchingUp) {
            return;
        }
        mCatchingUp = true;
        loadNewerRevisions()
                .subscribe()
                .with(
                        loaded -> mContext.runOnContext(ignored -> mCatchingUp = false),
                        failure -> mContext.runOnContext(ignored -> catchUpFailed(failure)));
    }

    private void catchUpFailed(Throwable failure) {
        mCatchingUp = false;
        LOG.debug(
                "The configuration could not be read from the store.",
                LogField.of("error", failure.getMessage()));
    }

    /**
     * Loads the newer changes; loads a newer snapshot first, as changes before it may be deleted.
     */
    Uni<Void> loadNewerRevisions() {
        return mStore.readRoot()
                .emitOn(this::execute)
                .flatMap(
                        versioned -> {
                            mStoreRead = true;
                            return loadFrom(versioned.root());
                        });
    }

    private Uni<Void> loadFrom(ConfigurationRoot root) {
        if (root.revision() <= current().revision()) {
            return Uni.createFrom().voidItem();
        }
        Uni<Void> snapshot = Uni.createFrom().voidItem();
        if (root.snapshotRevision() > current().revision()) {
            snapshot =
                    mStore.readSnapshot(root)
                            .emitOn(this::execute)
                            .invoke(this::offerSnapshot)
                            .replaceWithVoid();
        }
        return snapshot.flatMap(ignored -> mStore.readChangesAfter(current().revision()))
                .emitOn(this::execute)
                .invoke(changes -> changes.forEach(change -> offer(change, null)))
                .replaceWithVoid();
    }

    private void execute(Runnable action) {
        mContext.runOnContext(ignored -> action.run());
    }

    private void offerSnapshot(Configuration configuration) {
        if (mChangeLog.offer(configuration) == AdoptionResult.ADOPTED) {
            revisionAdopted(null, null);
        }
    }

    /**
     * Applies a change if it follows the revision in force.
     *
     * @param from the instance that sent the change; null if it came from the store or this
     *     instance
     */
    void offer(Change change, InstanceId from) {
        AdoptionResult result = mChangeLog.offer(change);
        if (result == AdoptionResult.ADOPTED) {
            revisionAdopted(change, from);
        } else if (result == AdoptionResult.GAP && from == null) {
            catchUp();
        } else if (result == AdoptionResult.FORKED) {
            LOG.warn(
                    "A change of a forked history was rejected. Check whether the store was"
                            + " restored from a backup.",
                    LogField.of("revision", change.revision()));
        }
    }

    private void revisionAdopted(Change change, InstanceId from) {
        LOG.info(
                "A configuration revision is now in force.",
                LogField.of("revision", current().revision()));
        mAdoptionListener.onAdopted(change, from);
    }

    /** Handles changes from another instance; returns whether earlier changes are missing here. */
    boolean handle(PeerMessage.ChangePush push, InstanceId from) {
        push.changes().forEach(change -> offer(change, from));
        return !push.changes().isEmpty()
                && push.changes().get(0).revision() > current().revision() + 1;
    }

    /** Creates a request for the changes missing here, to be sent to the given instance. */
    PeerMessage.ChangesRequest createChangesRequest(InstanceId to) {
        mRequestedFrom.add(to);
        return new PeerMessage.ChangesRequest(current().revision());
    }

    /**
     * Handles a complete configuration from another instance.
     *
     * <p>Adopts the configuration only if this instance requested it from the sender and it is
     * consistent, because a wrong configuration with a high revision would never be replaced.
     */
    void handle(PeerMessage.SnapshotPush push, InstanceId from) {
        if (!mRequestedFrom.remove(from)) {
            LOG.warn("A configuration that was not requested was ignored.", senderField(from));
            return;
        }
        Configuration offered = Configuration.of(push.revision(), push.digest(), push.entities());
        List<ConfigurationProblem> problems = ConfigurationValidator.validate(offered);
        if (problems.isEmpty()) {
            offerSnapshot(offered);
        } else {
            LOG.warn(
                    "An inconsistent configuration was ignored. Check the version of its sender.",
                    senderField(from),
                    LogField.of("problem", problems.get(0)));
        }
    }

    private static LogField senderField(InstanceId from) {
        return LogField.of("from", from);
    }

    /**
     * Returns the changes after the requested revision, or the whole configuration if some are not
     * retained.
     */
    PeerMessage createResponse(PeerMessage.ChangesRequest request) {
        Optional<List<Change>> changes = mChangeLog.changesAfter(request.afterRevision());
        if (changes.isPresent()) {
            return new PeerMessage.ChangePush(changes.get());
        }
        return new PeerMessage.SnapshotPush(
                current().revision(), current().digest(), current().entities());
    }

    void close() {
        if (mWatching) {
            mCloseWatch.run();
        }
    }

    /** Receives each adopted revision. */
    @FunctionalInterface
    interface AdoptionListener {

        /**
         * Handles the adoption of a revision.
         *
         * @param change the change that created the revision; null if a snapshot was adopted
         * @param from the instance that sent the change; null if it came from the store or this
         *     instance
         */
        void onAdopted(Change change, InstanceId from);
    }
}
