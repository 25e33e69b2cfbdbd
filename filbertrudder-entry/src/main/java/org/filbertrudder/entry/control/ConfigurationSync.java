package org.filbertrudder.entry.control;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.filbertrudder.entry.log.Field;
import org.filbertrudder.entry.log.PartLog;
import org.filbertrudder.model.Change;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.ConfigurationValidator;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.Problem;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.configuration.AdoptionResult;
import org.filbertrudder.policy.configuration.ConfigurationLog;

/** Keeps the configuration of this instance at the newest accepted revision. */
final class ConfigurationSync {

    private static final PartLog LOG = PartLog.of("configuration");
    private static final int RETAINED_CHANGES = 512;
    private static final long POLL_MS = 5_000;
    private static final long WATCH_RETRY_MS = 1_000;

    private final Context mContext;
    private final ConfigurationStore mStore;
    private final ConfigurationLog mConfigurationLog = new ConfigurationLog(RETAINED_CHANGES);
    private final Adoption mAdoption;
    private final Set<InstanceId> mAsked = new HashSet<>();
    private Runnable mCloseWatch;
    private boolean mWatching;
    private boolean mCatchingUp;
    private boolean mStoreRead;
    private long mNextWatchMs;
    private long mNextPollMs;

    ConfigurationSync(Context context, ConfigurationStore store, Adoption adoption) {
        mContext = context;
        mStore = store;
        mAdoption = adoption;
    }

    Configuration current() {
        return mConfigurationLog.current();
    }

    ConfigurationLog log() {
        return mConfigurationLog;
    }

    /** Returns whether a configuration is in force, or the store is known to hold none. */
    boolean ready() {
        return current().revision() > 0 || (mStoreRead && !mCatchingUp);
    }

    /** Watches the store if this instance is a relay, and reads it from time to time. */
    void tick(boolean relay, long nowMs) {
        if (relay && !mWatching && nowMs >= mNextWatchMs) {
            mWatching = true;
            mNextWatchMs = nowMs + WATCH_RETRY_MS;
            mCloseWatch =
                    mStore.watch(
                            change -> mContext.runOnContext(done -> offer(change, null)),
                            () -> mContext.runOnContext(done -> mWatching = false));
        } else if (!relay && mWatching) {
            mWatching = false;
            mCloseWatch.run();
        }
        boolean due = relay || !mStoreRead;
        if (due && nowMs >= mNextPollMs) {
            mNextPollMs = nowMs + POLL_MS;
            catchUp();
        }
    }

    /** Reads whatever the store holds beyond the revision in force. */
    void catchUp() {
        if (mCatchingUp) {
            return;
        }
        mCatchingUp = true;
        loadNewer()
                .subscribe()
                .with(
                        done -> mContext.runOnContext(ignored -> mCatchingUp = false),
                        failure -> mContext.runOnContext(ignored -> catchUpFailed(failure)));
    }

    private void catchUpFailed(Throwable failure) {
        mCatchingUp = false;
        LOG.debug("The store cannot be read.", Field.of("error", failure.getMessage()));
    }

    /** Reads the newer changes, after a snapshot if some of them are gone. */
    Uni<Void> loadNewer() {
        return mStore.readRoot()
                .emitOn(this::execute)
                .flatMap(
                        versioned -> {
                            mStoreRead = true;
                            return load(versioned.root());
                        });
    }

    private Uni<Void> load(ConfigurationRoot root) {
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
        return snapshot.flatMap(done -> mStore.readChangesAfter(current().revision()))
                .emitOn(this::execute)
                .invoke(changes -> changes.forEach(change -> offer(change, null)))
                .replaceWithVoid();
    }

    private void execute(Runnable action) {
        mContext.runOnContext(ignored -> action.run());
    }

    private void offerSnapshot(Configuration configuration) {
        if (mConfigurationLog.offer(configuration) == AdoptionResult.ADOPTED) {
            adopted(null, null);
        }
    }

    /** Offers a change that came from the store, from another instance or from this one. */
    void offer(Change change, InstanceId from) {
        AdoptionResult result = mConfigurationLog.offer(change);
        if (result == AdoptionResult.ADOPTED) {
            adopted(change, from);
        } else if (result == AdoptionResult.GAP && from == null) {
            catchUp();
        } else if (result == AdoptionResult.FORKED) {
            LOG.warn(
                    "A change of another history was refused. Check whether the store was restored"
                            + " from a backup.",
                    Field.of("revision", change.revision()));
        }
    }

    private void adopted(Change change, InstanceId from) {
        LOG.info("A revision is in force.", Field.of("revision", current().revision()));
        mAdoption.adopted(change, from);
    }

    /** Handles changes that another instance has pushed; returns whether some are missing. */
    boolean handle(PeerMessage.ChangePush push, InstanceId from) {
        push.changes().forEach(change -> offer(change, from));
        return !push.changes().isEmpty()
                && push.changes().get(0).revision() > current().revision() + 1;
    }

    /** Returns the request for what is missing here, to be sent to the given instance. */
    PeerMessage.ChangesRequest request(InstanceId to) {
        mAsked.add(to);
        return new PeerMessage.ChangesRequest(current().revision());
    }

    /**
     * Handles a whole configuration that another instance has sent.
     *
     * <p>Adopts it only if that instance was asked and the configuration is consistent, as nothing
     * would ever replace a wrong one of a high revision.
     */
    void handle(PeerMessage.SnapshotPush push, InstanceId from) {
        if (!mAsked.remove(from)) {
            LOG.warn("A configuration that was not asked for was ignored.", sender(from));
            return;
        }
        Configuration offered = Configuration.of(push.revision(), push.digest(), push.entities());
        List<Problem> problems = ConfigurationValidator.validate(offered);
        if (problems.isEmpty()) {
            offerSnapshot(offered);
        } else {
            LOG.warn(
                    "An inconsistent configuration was ignored. Check that instance's version.",
                    sender(from),
                    Field.of("problem", problems.get(0)));
        }
    }

    private static Field sender(InstanceId from) {
        return Field.of("from", from);
    }

    /** Returns what another instance needs to reach the revision in force. */
    PeerMessage answer(PeerMessage.ChangesRequest request) {
        Optional<List<Change>> changes = mConfigurationLog.changesAfter(request.afterRevision());
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

    /** Is told of each new revision; the change is null if a snapshot was adopted. */
    @FunctionalInterface
    interface Adoption {
        void adopted(Change change, InstanceId from);
    }
}
