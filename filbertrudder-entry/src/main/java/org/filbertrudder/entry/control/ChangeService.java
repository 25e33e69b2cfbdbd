package org.filbertrudder.entry.control;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.filbertrudder.entry.control.ChangeRejectedException.Kind;
import org.filbertrudder.entry.log.Field;
import org.filbertrudder.entry.log.PartLog;
import org.filbertrudder.model.Change;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.ConfigurationValidator;
import org.filbertrudder.model.Edit;
import org.filbertrudder.model.Problem;
import org.filbertrudder.store.StoreException;

/** Accepts operators' changes: validates them, then writes them by compare-and-swap. */
public final class ChangeService {

    private static final PartLog LOG = PartLog.of("changes");
    private static final int MAX_ATTEMPTS = 8;
    private static final int CHANGES_PER_SNAPSHOT = 256;

    /** Stands for the newest revision, whatever it is. */
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
     * Checks a change without accepting it.
     *
     * @return the edits that it would make
     */
    public List<Edit> preview(Function<Configuration, List<Edit>> editor) {
        Configuration base = mSync.current();
        List<Edit> edits = editor.apply(base);
        validate(base, newChange(base, "preview", "preview", edits));
        return edits;
    }

    /**
     * Accepts a change.
     *
     * @param author the operator
     * @param expectedRevision the revision that the operator has seen, or {@link #ANY_REVISION}
     * @param editor returns the edits to make on a configuration
     * @return the revision that the change has created, or the present one if there was nothing to
     *     change; fails with {@link ChangeRejectedException}
     */
    public Uni<Long> accept(
            String author, long expectedRevision, Function<Configuration, List<Edit>> editor) {
        Proposal proposal =
                new Proposal(author, UUID.randomUUID().toString(), expectedRevision, editor);
        return attempt(proposal, 1);
    }

    private Uni<Long> attempt(Proposal proposal, int number) {
        return mSync.loadNewer()
                .flatMap(done -> mStore.readRoot())
                .emitOn(this::execute)
                .onFailure(StoreException.class)
                .transform(
                        failure ->
                                rejected(
                                        Kind.STORE_UNAVAILABLE,
                                        "The store cannot be reached, so nothing was changed. Try"
                                                + " again later."))
                .flatMap(root -> write(proposal, root, number));
    }

    private Uni<Long> write(Proposal proposal, ConfigurationStore.VersionedRoot root, int number) {
        Configuration base = mSync.current();
        Optional<Change> done = mSync.log().recent().stream().filter(proposal::made).findFirst();
        if (done.isPresent()) {
            return Uni.createFrom().item(done.get().revision());
        }
        if (root.root().revision() < base.revision()) {
            return fail(
                    Kind.STORE_BEHIND,
                    "The store holds revision "
                            + root.root().revision()
                            + " but "
                            + base.revision()
                            + " is in force. Bring the store up to date first.");
        }
        if (root.root().revision() > base.revision()) {
            return retry(proposal, number);
        }
        if (proposal.expectedRevision() != ANY_REVISION
                && proposal.expectedRevision() != base.revision()) {
            return fail(
                    Kind.CONFLICT,
                    "Revision "
                            + base.revision()
                            + " came first. Look at it and send the change again.");
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
                                        ? adopt(change)
                                        : settle(proposal, change, number))
                .onFailure(StoreException.class)
                .recoverWithUni(failure -> afterLostAnswer(proposal, change, number));
    }

    private Uni<Long> adopt(Change change) {
        mSync.offer(change, null);
        LOG.info(
                "A change was accepted.",
                Field.of("revision", change.revision()),
                Field.of("author", change.author()),
                Field.of("edits", change.edits().size()));
        if (change.revision() % CHANGES_PER_SNAPSHOT == 0) {
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
                                        "A snapshot was written.",
                                        Field.of("revision", configuration.revision())),
                        failure ->
                                LOG.warn(
                                        "A snapshot could not be written; the next one will.",
                                        Field.of("error", failure.getMessage())));
    }

    /** Tells by the change id whether the write took effect although its answer was lost. */
    private Uni<Long> afterLostAnswer(Proposal proposal, Change change, int number) {
        return settle(proposal, change, number)
                .onFailure(StoreException.class)
                .recoverWithUni(
                        failure ->
                                fail(
                                        Kind.OUTCOME_UNKNOWN,
                                        "The store gave no answer. Look whether change "
                                                + change.changeId()
                                                + " is in the history before sending it again."));
    }

    private Uni<Long> settle(Proposal proposal, Change change, int number) {
        return mStore.readChange(change.revision())
                .emitOn(this::execute)
                .flatMap(
                        found -> {
                            Optional<Change> ours =
                                    found.stream().filter(proposal::made).findFirst();
                            return ours.map(this::adopt).orElseGet(() -> retry(proposal, number));
                        });
    }

    private Uni<Long> retry(Proposal proposal, int number) {
        return number < MAX_ATTEMPTS
                ? attempt(proposal, number + 1)
                : fail(Kind.CONFLICT, "Too many changes came first. Send the change again.");
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
        List<Problem> problems = ConfigurationValidator.validateEdits(next, change.edits());
        if (!problems.isEmpty()) {
            throw new ChangeRejectedException(
                    Kind.INVALID,
                    "The change is not consistent. Mend the problems listed.",
                    problems.stream().map(Problem::toString).toList());
        }
        return next;
    }

    private void execute(Runnable action) {
        mContext.runOnContext(ignored -> action.run());
    }

    private static ChangeRejectedException rejected(Kind kind, String message) {
        return new ChangeRejectedException(kind, message, List.of());
    }

    private static Uni<Long> fail(Kind kind, String message) {
        return Uni.createFrom().failure(rejected(kind, message));
    }

    private record Proposal(
            String author,
            String changeId,
            long expectedRevision,
            Function<Configuration, List<Edit>> editor) {

        boolean made(Change change) {
            return change.changeId().equals(changeId);
        }
    }
}
