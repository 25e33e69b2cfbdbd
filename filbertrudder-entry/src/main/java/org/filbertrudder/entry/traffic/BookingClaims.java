package org.filbertrudder.entry.traffic;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.function.Consumer;
import org.filbertrudder.entry.control.Snapshot;
import org.filbertrudder.entry.control.StoreKeys;
import org.filbertrudder.entry.log.Field;
import org.filbertrudder.entry.log.PartLog;
import org.filbertrudder.model.Digests;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.Json;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.store.KeyValue;
import org.filbertrudder.store.Store;
import org.filbertrudder.store.StoreException;
import org.filbertrudder.store.Transaction;
import org.filbertrudder.store.TransactionResult;

/**
 * Makes sure that a request with an idempotency key runs at most once in the whole fleet.
 *
 * <p>A claim must exist in the store before the request is sent to an endpoint. A repeat gets the
 * first answer, or learns that the first run has not ended or that its outcome is unknown.
 */
final class BookingClaims {

    private static final PartLog LOG = PartLog.of("claims");
    private static final int MAX_STORED_BYTES = 64 * 1024;
    private static final int WRITE_ATTEMPTS = 60;
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(100);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(5);
    private static final Duration RETENTION = Duration.ofHours(48);
    private static final Duration LEASE_RENEWAL = Duration.ofHours(1);
    private static final Duration FIRST_LOOK = Duration.ofMillis(25);
    private static final int MAX_LOOKS = 5;
    private static final long RETRY_RUNNING_MS = 1_000;

    private final Context mThread;
    private final TrafficContext mContext;
    private final Store mStore;
    private final Finisher mFinisher;
    private long mLease;
    private long mLeaseRenewalMs;

    BookingClaims(Context thread, TrafficContext context, Finisher finisher) {
        mThread = thread;
        mContext = context;
        mStore = context.store();
        mFinisher = finisher;
    }

    /** Claims the key of the exchange, then serves it; a repeat is answered at once. */
    void claim(Exchange exchange, String idempotencyKey, Consumer<Exchange> serve) {
        Exchange.Incoming incoming = exchange.incoming();
        String account = incoming.account().value();
        String digest = Digests.sha256(incoming.service().id() + "/" + idempotencyKey);
        String key = StoreKeys.claim(account, digest);
        Claim draft =
                new Claim(
                        UUID.randomUUID().toString(),
                        mContext.snapshot().self().id(),
                        System.currentTimeMillis(),
                        requestDigest(incoming),
                        State.RUNNING,
                        null,
                        0);
        lease().map(draft::under)
                .flatMap(claim -> create(key, claim))
                .emitOn(this::execute)
                .subscribe()
                .with(
                        existing -> decide(exchange, key, draft, existing, serve, 0),
                        failure -> refuseUnclaimed(exchange, key, draft));
    }

    /** Returns the lease of this hour's claims, so that the store forgets them in the end. */
    private Uni<Long> lease() {
        long nowMs = mContext.nowMs();
        if (mLease != 0 && nowMs < mLeaseRenewalMs) {
            return Uni.createFrom().item(mLease);
        }
        return mStore.grantLease(RETENTION.toSeconds())
                .emitOn(this::execute)
                .invoke(
                        lease -> {
                            mLease = lease;
                            mLeaseRenewalMs = nowMs + LEASE_RENEWAL.toMillis();
                        });
    }

    private static String requestDigest(Exchange.Incoming incoming) {
        return Digests.sha256(
                incoming.method()
                        + " "
                        + incoming.uri()
                        + "\n"
                        + Digests.sha256(incoming.body().getBytes()));
    }

    /** Creates the claim; returns the one in the store, which is this one if it was created. */
    private Uni<Claim> create(String key, Claim claim) {
        Transaction transaction =
                Transaction.builder()
                        .ifUnchanged(key, 0)
                        .put(key, Json.write(claim), claim.lease())
                        .orRead(key)
                        .build();
        return mStore.commit(transaction)
                .onFailure(BookingClaims::isOutcomeUnknown)
                .retry()
                .atMost(1)
                .map(result -> result.succeeded() ? claim : first(result.found()));
    }

    private static boolean isOutcomeUnknown(Throwable failure) {
        return failure instanceof StoreException store
                && store.kind() == StoreException.Kind.OUTCOME_UNKNOWN;
    }

    private static Claim first(List<KeyValue> found) {
        if (found.isEmpty()) {
            throw new StoreException(
                    StoreException.Kind.NOT_DONE, "The claim was removed meanwhile.", null);
        }
        return Json.read(found.get(0).value(), Claim.class);
    }

    /** Gives the first run a little time to end, as repeats often come while it runs. */
    private void lookAgain(
            Exchange exchange, String key, Claim own, Consumer<Exchange> serve, int looks) {
        Uni.createFrom()
                .voidItem()
                .onItem()
                .delayIt()
                .by(FIRST_LOOK.multipliedBy(1L << looks))
                .flatMap(done -> mStore.get(key))
                .map(BookingClaims::first)
                .emitOn(this::execute)
                .subscribe()
                .with(
                        existing -> decide(exchange, key, own, existing, serve, looks),
                        failure -> mFinisher.refuse(exchange, conflict(State.RUNNING)));
    }

    private void decide(
            Exchange exchange,
            String key,
            Claim own,
            Claim existing,
            Consumer<Exchange> serve,
            int looks) {
        if (exchange.ended() && !existing.attempt().equals(own.attempt())) {
            return;
        }
        if (existing.attempt().equals(own.attempt())) {
            exchange.onEnd(() -> record(exchange, key, existing));
            if (exchange.ended()) {
                record(exchange, key, existing);
            } else {
                serve.accept(exchange);
            }
            return;
        }
        if (!existing.requestDigest().equals(own.requestDigest())) {
            mFinisher.refuse(
                    exchange,
                    Refusal.of(
                            422,
                            "idempotency_key_reused",
                            "The Idempotency-Key belongs to a different request. Use a new one."));
        } else if (existing.state() == State.DONE && existing.answer() != null) {
            replay(exchange, existing.answer());
        } else if (existing.state() == State.RUNNING && isAbandoned(existing)) {
            mFinisher.refuse(exchange, conflict(State.UNKNOWN));
        } else if (existing.state() == State.RUNNING && looks < MAX_LOOKS) {
            lookAgain(exchange, key, own, serve, looks + 1);
        } else {
            mFinisher.refuse(exchange, conflict(existing.state()));
        }
    }

    /** Returns whether the run can no longer end with a recorded outcome. */
    private boolean isAbandoned(Claim claim) {
        Snapshot snapshot = mContext.snapshot();
        long ageMs = System.currentTimeMillis() - claim.createdMs();
        boolean tooOld = ageMs > 2 * snapshot.configuration().rules().requestTimeoutMs();
        boolean ownerGone =
                snapshot.member(claim.owner())
                        .map(
                                member ->
                                        member.state() == MemberState.DEAD
                                                || member.incarnation() > claim.createdMs())
                        .orElse(ageMs > RETRY_RUNNING_MS);
        return tooOld || ownerGone;
    }

    private static Refusal conflict(State state) {
        return switch (state) {
            case DONE ->
                    new Refusal(
                            409,
                            "already_run",
                            "The request has run already; its answer was too long to be kept.",
                            false,
                            0);
            case RUNNING ->
                    new Refusal(
                            409,
                            "in_progress",
                            "The first request with this key has not ended. Ask again later.",
                            false,
                            RETRY_RUNNING_MS);
            default ->
                    new Refusal(
                            409,
                            "outcome_unknown",
                            "The first request with this key may have run. Check before booking"
                                    + " again with a new key.",
                            false,
                            0);
        };
    }

    private void replay(Exchange exchange, Exchange.Answer answer) {
        Map<String, String> headers = new LinkedHashMap<>();
        if (!answer.contentType().isEmpty()) {
            headers.put("content-type", answer.contentType());
        }
        headers.put("content-length", Integer.toString(answer.body().length));
        headers.put("idempotent-replayed", "true");
        exchange.sink().head(answer.status(), headers);
        exchange.sink().write(Buffer.buffer(answer.body()));
        exchange.sink().end();
        mFinisher.complete(exchange);
    }

    private void refuseUnclaimed(Exchange exchange, String key, Claim claim) {
        mLease = 0;
        mFinisher.refuse(
                exchange,
                Refusal.unavailable(
                        "The store is not reachable, so the request cannot be kept from running"
                                + " twice. Come back later."));
        remove(key, claim);
    }

    /** Records how the exchange ended, so that repeats get the same answer. */
    private void record(Exchange exchange, String key, Claim claim) {
        if (!exchange.maybeRan()) {
            remove(key, claim);
            return;
        }
        Exchange.Answer answer = exchange.answer();
        if (answer == null) {
            write(key, claim.with(State.UNKNOWN, null));
        } else {
            boolean fits = answer.body().length <= MAX_STORED_BYTES;
            write(key, claim.with(State.DONE, fits ? answer : null));
        }
    }

    private void write(String key, Claim claim) {
        persist(
                Transaction.builder().put(key, Json.write(claim), claim.lease()).build(),
                "The outcome of a claim could not be recorded.");
    }

    /** Removes a claim whose request has certainly not run, if it was created after all. */
    private void remove(String key, Claim claim) {
        Uni<TransactionResult> removal =
                mStore.get(key)
                        .flatMap(
                                found -> {
                                    boolean ours =
                                            !found.isEmpty()
                                                    && first(found)
                                                            .attempt()
                                                            .equals(claim.attempt());
                                    return ours
                                            ? mStore.commit(removal(key, found.get(0)))
                                            : Uni.createFrom()
                                                    .item(new TransactionResult(true, List.of()));
                                });
        retry(removal, "A claim that was not used could not be removed.");
    }

    private static Transaction removal(String key, KeyValue found) {
        return Transaction.builder().ifUnchanged(key, found.modRevision()).delete(key).build();
    }

    private void persist(Transaction transaction, String complaint) {
        retry(Uni.createFrom().deferred(() -> mStore.commit(transaction)), complaint);
    }

    private static void retry(Uni<TransactionResult> action, String complaint) {
        action.onFailure()
                .retry()
                .withBackOff(FIRST_BACKOFF, MAX_BACKOFF)
                .atMost(WRITE_ATTEMPTS)
                .subscribe()
                .with(
                        done -> {},
                        failure -> LOG.warn(complaint, Field.of("error", failure.getMessage())));
    }

    private void execute(Runnable action) {
        mThread.runOnContext(ignored -> action.run());
    }

    /** Lists the states of a claim. */
    enum State {
        RUNNING,
        DONE,
        UNKNOWN
    }

    /**
     * Reserves an idempotency key for one run.
     *
     * @param attempt tells whose claim it is
     * @param owner the instance that runs the request
     * @param createdMs when the claim was made, in milliseconds since the epoch
     * @param requestDigest recognises the request
     * @param state how far the run has come
     * @param answer the answer for repeats; null if there is none or it is too long
     * @param lease the lease that the claim ends with
     */
    record Claim(
            String attempt,
            InstanceId owner,
            long createdMs,
            String requestDigest,
            State state,
            Exchange.Answer answer,
            long lease) {

        Claim with(State newState, Exchange.Answer newAnswer) {
            return new Claim(attempt, owner, createdMs, requestDigest, newState, newAnswer, lease);
        }

        Claim under(long newLease) {
            return new Claim(attempt, owner, createdMs, requestDigest, state, answer, newLease);
        }
    }
}
