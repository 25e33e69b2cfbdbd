package org.filbertrudder.entry.control;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.filbertrudder.entry.control.ChangeRejectedException.Kind;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.Change;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.ConfigurationProblem;
import org.filbertrudder.model.ConfigurationValidator;
import org.filbertrudder.model.Edit;
import org.filbertrudder.store.StoreException;

/** Validates operators' changes and commits them to the store by compare-and-swap. */
public final class ChangeService {

    private static final ComponentLogger LOG = ComponentLogger.of("changes");
    private static final int MAX_COMMIT_ATTEMPTS = 8;
    private static final int REVISIONS_PER_SNAPSHOT = 256;

    /** Expected revision of a change that applies to any current revision. */
    public static final long ANY_REVISION = -1;

    private final Context mContext;
    private final ConfigurationStore mStore;
    private final ConfigurationSync mSync;
    private final LongSupplier mWallClockMs;

    ChangeService(
            Context context,
            ConfigurationStore store,
            ConfigurationSync sync,
            LongSupplier wallClockMs) {
        mContext = context;
        mStore = store;
        mSync = sync;
        mWallClockMs = wallClockMs;
    }

    /**
     * Validates a change without committing it.
     *
     * @param editor returns the edits to make to a configuration
     * @return the edits that the change would make
     */
    public List<Edit> preview(Function<Configuration, List<Edit>> editor) {
        Configuration base = mSync.current();
        List<Edit> edits = editor.apply(base);
        validate(base, newChange(base, "preview", "preview", edits));
        return edits;
    }

    /**
     * Validates and commits a change.
     *
     * @param author the name of the operator
     * @param expectedRevision the revision on which the operator based the change, or {@link
     *     #ANY_REVISION}
     * @param editor returns the edits to make to a configuration
     * @return the revision that the change created, or the current one if there were no edits;
     *     fails with {@link ChangeRejectedException}
     */
    public Uni<Long> commit(
            String author, long expectedRevision, Function<Configuration, List<Edit>> editor) {
        Proposal proposal =
                new Proposal(author, UUID.randomUUID().toString(), expectedRevision, editor);
        return tryCommit(proposal, 1);
    }

    private Uni<Long> tryCommit(Proposal proposal, int attemptNumber) {
        return mSync.loadNewerRevisions()
                .flatMap(ignored -> mStore.readRoot())
                .emitOn(this::execute)
                .onFailure(StoreException.class)
                .transform(
                        failure ->
                                rejection(
                                        Kind.STORE_UNAVAILABLE,
                                        "The store is unreachable, so nothing was changed. Try"
                                                + " again later."))
                .flatMap(root -> validateAndWrite(proposal, root, attemptNumber));
    }

    private Uni<Long> validateAndWrite(
            Proposal proposal, ConfigurationStore.VersionedRoot root, int attemptNumber) {
        Configuration base = mSync.current();
        Optional<Change> committed =
                mSync.changeLog().recentChanges().stream().filter(proposal::created).findFirst();
        if (committed.isPresent()) {
            return Uni.createFrom().item(committed.get().revision());
        }
        if (root.root().revision() < base.revision()) {
            return failWith(
                    Kind.STORE_BEHIND,
                    "The store holds revision "
                            + root.root().revision()
                            + " but "
                            + base.revision()
                            + " is in force. Bring the store up to that revision first.");
        }
        if (root.root().revision() > base.revision()) {
            return retryCommit(proposal, attemptNumber);
        }
        if (proposal.expectedRevision() != ANY_REVISION
                && proposal.expectedRevision() != base.revision()) {
            return failWith(
                    Kind.CONFLICT,
                    "The current revision is "
                            + base.revision()
                            + ", not the expected one. Review it and send the change again.");
        }
        List<Edit> edits = proposal.editor().apply(base);
        if (edits.isEmpty()) {
            return Uni.createFrom().item(base.revision());
        }
        Change change = newChange(base, proposal.changeId(), proposal.author(), edits);
        Configuration next = validate(base, change);
        return mStore.append(root, change, next.digest())
                .emitOn(this::execute)
                .flatMap(
                        result ->
                                result.succeeded()
                                        ? applyCommitted(change)
                                        : applyIfCommitted(proposal, change, attemptNumber))
                .onFailure(StoreException.class)
                .recoverWithUni(failure -> resolveUnknownOutcome(proposal, change, attemptNumber));
    }

    private Uni<Long> applyCommitted(Change change) {
        mSync.offer(change, null);
        LOG.info(
                "A change was accepted.",
                LogField.of("revision", change.revision()),
                LogField.of("author", change.author()),
                LogField.of("edits", change.edits().size()));
        if (change.revision() % REVISIONS_PER_SNAPSHOT == 0) {
            writeSnapshot();
        }
        return Uni.createFrom().item(change.revision());
    }

    private void writeSnapshot() {
        Configuration configuration = mSync.current();
        mStore.readRoot()
                .flatMap(root -> mStore.writeSnapshot(root, configuration))
                .subscribe()
                .with(
                        result ->
                                LOG.info(
                                        "A configuration snapshot was written.",
                                        LogField.of("revision", configuration.revision())),
                        failure ->
                                LOG.warn(
                                        "Failed to write a snapshot; the next one replaces it.",
                                        LogField.of("error", failure.getMessage())));
    }

    /** Looks up the change id in the store after a write whose response was lost. */
    private Uni<Long> resolveUnknownOutcome(Proposal proposal, Change change, int attemptNumber) {
        return applyIfCommitted(proposal, change, attemptNumber)
                .onFailure(StoreException.class)
                .recoverWithUni(
                        failure ->
                                failWith(
                                        Kind.OUTCOME_UNKNOWN,
                                        "The store did not respond. Check whether change "
                                                + change.changeId()
                                                + " is in the history before sending it again."));
    }

    private Uni<Long> applyIfCommitted(Proposal proposal, Change change, int attemptNumber) {
        return mStore.readChange(change.revision())
                .emitOn(this::execute)
                .flatMap(
                        storedChanges -> {
                            Optional<Change> committed =
                                    storedChanges.stream().filter(proposal::created).findFirst();
                            return committed
                                    .map(this::applyCommitted)
                                    .orElseGet(() -> retryCommit(proposal, attemptNumber));
                        });
    }

    private Uni<Long> retryCommit(Proposal proposal, int attemptNumber) {
        return attemptNumber < MAX_COMMIT_ATTEMPTS
                ? tryCommit(proposal, attemptNumber + 1)
                : failWith(
                        Kind.CONFLICT,
                        "Too many concurrent changes were committed first. Send the change again.");
    }

    private Change newChange(Configuration base, String changeId, String author, List<Edit> edits) {
        return new Change(
                base.revision() + 1,
                changeId,
                author,
                mWallClockMs.getAsLong(),
                base.digest(),
                edits);
    }

    private static Configuration validate(Configuration base, Change change) {
        Configuration next = base.apply(change);
        List<ConfigurationProblem> problems =
                ConfigurationValidator.validateEdits(next, change.edits());
        if (!problems.isEmpty()) {
            throw new ChangeRejectedException(
                    Kind.INVALID,
                    "The change makes the configuration inconsistent. Fix the listed problems.",
                    problems.stream().map(ConfigurationProblem::toString).toList());
        }
        return next;
    }

    private void execute(Runnable action) {
        mContext.runOnContext(ignored -> action.run());
    }

    private static ChangeRejectedException rejection(Kind kind, String message) {
        return new ChangeRejectedException(kind, message, List.of());
    }

    private static Uni<Long> failWith(Kind kind, String message) {
        return Uni.createFrom().failure(rejection(kind, message));
    }

    private record Proposal(
            String author,
            String changeId,
            long expectedRevision,
            Function<Configuration, List<Edit>> editor) {

        boolean created(Change change) {
            return change.changeId().equals(changeId);
        }
    }
}
