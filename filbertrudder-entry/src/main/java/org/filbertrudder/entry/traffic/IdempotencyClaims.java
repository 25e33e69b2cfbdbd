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
import org.filbertrudder.entry.control.ControlSnapshot;
import org.filbertrudder.entry.control.StoreKeys;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.Digests;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.Json;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.store.KeyValue;
import org.filbertrudder.store.Store;
import org.filbertrudder.store.StoreException;
import org.filbertrudder.store.StoreLease;
import org.filbertrudder.store.Transaction;
import org.filbertrudder.store.TransactionResult;

/**
 * Ensures that a request with an idempotency key runs at most once across all instances.
 *
 * <p>A claim on the key must exist in the store before the request is sent to an endpoint. A repeat
 * gets the stored response of the first run, or a refusal that says that the first run is still in
 * progress, that its response was not stored or that its outcome is unknown.
 */
final class IdempotencyClaims {

    private static final ComponentLogger LOG = ComponentLogger.of("claims");
    private static final int MAX_STORED_BODY_BYTES = 64 * 1024;
    private static final int MAX_WRITE_RETRIES = 60;
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(100);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(5);
    private static final Duration RETENTION = Duration.ofHours(48);
    private static final Duration LEASE_SHARING_PERIOD = Duration.ofHours(1);
    private static final Duration BASE_POLL_DELAY = Duration.ofMillis(25);
    private static final int MAX_POLLS = 5;
    private static final long IN_PROGRESS_RETRY_MS = 1_000;

    private final Context mEventLoop;
    private final TrafficContext mContext;
    private final Store mStore;
    private final ExchangeFinisher mFinisher;
    private long mLeaseId;
    private long mNextLeaseGrantMs;

    IdempotencyClaims(Context eventLoop, TrafficContext context, ExchangeFinisher finisher) {
        mEventLoop = eventLoop;
        mContext = context;
        mStore = context.store();
        mFinisher = finisher;
    }

    /**
     * Claims the idempotency key, then serves the exchange; a repeat is answered from the claim.
     */
    void claim(Exchange exchange, String idempotencyKey, Consumer<Exchange> serve) {
        Exchange.Request request = exchange.request();
        String account = request.account().value();
        String digest = Digests.sha256(request.service().id() + "/" + idempotencyKey);
        String key = StoreKeys.claim(account, digest);
        Claim newClaim =
                new Claim(
                        UUID.randomUUID().toString(),
                        mContext.snapshot().self().id(),
                        System.currentTimeMillis(),
                        requestDigest(request),
                        State.RUNNING,
                        null,
                        0);
        currentLeaseId()
                .map(newClaim::withLease)
                .flatMap(claim -> createClaim(key, claim))
                .emitOn(this::runOnEventLoop)
                .subscribe()
                .with(
                        storedClaim -> handleClaim(exchange, key, newClaim, storedClaim, serve, 0),
                        failure -> refuseWithoutClaim(exchange, key, newClaim));
    }

    /**
     * Returns the id of the lease that all claims of one sharing period use. The lease is not
     * renewed; the store removes its claims when it expires.
     */
    private Uni<Long> currentLeaseId() {
        long nowMs = mContext.nowMs();
        if (mLeaseId != 0 && nowMs < mNextLeaseGrantMs) {
            return Uni.createFrom().item(mLeaseId);
        }
        return mStore.grantLease(RETENTION.toSeconds())
                .map(StoreLease::id)
                .emitOn(this::runOnEventLoop)
                .invoke(
                        leaseId -> {
                            mLeaseId = leaseId;
                            mNextLeaseGrantMs = nowMs + LEASE_SHARING_PERIOD.toMillis();
                        });
    }

    private static String requestDigest(Exchange.Request request) {
        return Digests.sha256(
                request.method()
                        + " "
                        + request.uri()
                        + "\n"
                        + Digests.sha256(request.body().getBytes()));
    }

    /** Creates the claim unless the key is claimed already; returns the claim in the store. */
    private Uni<Claim> createClaim(String key, Claim claim) {
        Transaction transaction =
                Transaction.builder()
                        .ifUnchanged(key, 0)
                        .put(key, Json.write(claim), claim.lease())
                        .readOnConflict(key)
                        .build();
        return mStore.commit(transaction)
                .onFailure(IdempotencyClaims::isOutcomeUnknown)
                .retry()
                .atMost(1)
                .map(result -> result.succeeded() ? claim : parseClaim(result.currentValues()));
    }

    private static boolean isOutcomeUnknown(Throwable failure) {
        return failure instanceof StoreException store
                && store.kind() == StoreException.Kind.OUTCOME_UNKNOWN;
    }

    private static Claim parseClaim(List<KeyValue> found) {
        if (found.isEmpty()) {
            throw new StoreException(
                    StoreException.Kind.NOT_DONE,
                    "The claim was removed before it could be read.",
                    null);
        }
        return Json.read(found.get(0).value(), Claim.class);
    }

    /** Reads the claim again after a delay, as repeats often arrive during the first run. */
    private void pollClaim(
            Exchange exchange, String key, Claim ownClaim, Consumer<Exchange> serve, int polls) {
        Uni.createFrom()
                .voidItem()
                .onItem()
                .delayIt()
                .by(BASE_POLL_DELAY.multipliedBy(1L << polls))
                .flatMap(done -> mStore.get(key))
                .map(IdempotencyClaims::parseClaim)
                .emitOn(this::runOnEventLoop)
                .subscribe()
                .with(
                        storedClaim ->
                                handleClaim(exchange, key, ownClaim, storedClaim, serve, polls),
                        failure -> mFinisher.refuse(exchange, repeatRefusal(State.RUNNING)));
    }

    private void handleClaim(
            Exchange exchange,
            String key,
            Claim ownClaim,
            Claim storedClaim,
            Consumer<Exchange> serve,
            int polls) {
        if (exchange.ended() && !storedClaim.attempt().equals(ownClaim.attempt())) {
            return;
        }
        if (storedClaim.attempt().equals(ownClaim.attempt())) {
            exchange.onEnd(() -> recordOutcome(exchange, key, storedClaim));
            if (exchange.ended()) {
                recordOutcome(exchange, key, storedClaim);
            } else {
                serve.accept(exchange);
            }
            return;
        }
        if (!storedClaim.requestDigest().equals(ownClaim.requestDigest())) {
            mFinisher.refuse(
                    exchange,
                    Refusal.of(
                            422,
                            "idempotency_key_reused",
                            "The Idempotency-Key belongs to a different request. Use a new one."));
        } else if (storedClaim.state() == State.DONE && storedClaim.answer() != null) {
            replayResponse(exchange, storedClaim.answer());
        } else if (storedClaim.state() == State.RUNNING && isAbandoned(storedClaim)) {
            mFinisher.refuse(exchange, repeatRefusal(State.UNKNOWN));
        } else if (storedClaim.state() == State.RUNNING && polls < MAX_POLLS) {
            pollClaim(exchange, key, ownClaim, serve, polls + 1);
        } else {
            mFinisher.refuse(exchange, repeatRefusal(storedClaim.state()));
        }
    }

    /**
     * Returns whether no outcome is expected any more, because the claim is older than twice the
     * request timeout or the instance that ran the request has stopped or is unknown here.
     */
    private boolean isAbandoned(Claim claim) {
        ControlSnapshot snapshot = mContext.snapshot();
        long ageMs = System.currentTimeMillis() - claim.createdMs();
        boolean exceedsRequestTimeout =
                ageMs > 2 * snapshot.configuration().rules().requestTimeoutMs();
        boolean ownerStopped =
                snapshot.member(claim.owner())
                        .map(
                                member ->
                                        member.state() == MemberState.DEAD
                                                || member.incarnation() > claim.createdMs())
                        .orElse(ageMs > IN_PROGRESS_RETRY_MS);
        return exceedsRequestTimeout || ownerStopped;
    }

    private static Refusal repeatRefusal(State state) {
        return switch (state) {
            case DONE ->
                    new Refusal(
                            409,
                            "already_run",
                            "The request has already run; its response was too long to be stored.",
                            false,
                            0);
            case RUNNING ->
                    new Refusal(
                            409,
                            "in_progress",
                            "The first request with this key is still in progress. Retry later.",
                            false,
                            IN_PROGRESS_RETRY_MS);
            default ->
                    new Refusal(
                            409,
                            "outcome_unknown",
                            "The first request with this key may have run. Check whether it did"
                                    + " before sending it again with a new key.",
                            false,
                            0);
        };
    }

    private void replayResponse(Exchange exchange, Exchange.StoredResponse response) {
        Map<String, String> headers = new LinkedHashMap<>();
        if (!response.contentType().isEmpty()) {
            headers.put("content-type", response.contentType());
        }
        headers.put("content-length", Integer.toString(response.body().length));
        headers.put("idempotent-replayed", "true");
        exchange.sink().sendHead(response.status(), headers);
        exchange.sink().write(Buffer.buffer(response.body()));
        exchange.sink().end();
        mFinisher.complete(exchange);
    }

    private void refuseWithoutClaim(Exchange exchange, String key, Claim claim) {
        mLeaseId = 0;
        mFinisher.refuse(
                exchange,
                Refusal.unavailable(
                        "The store is not reachable, so the request cannot be protected from"
                                + " running twice. Retry later."));
        removeClaim(key, claim);
    }

    /** Records the outcome of the exchange, so that repeats get the same response. */
    private void recordOutcome(Exchange exchange, String key, Claim claim) {
        if (!exchange.mayHaveRun()) {
            removeClaim(key, claim);
            return;
        }
        Exchange.StoredResponse response = exchange.storedResponse();
        if (response == null) {
            writeClaim(key, claim.withOutcome(State.UNKNOWN, null));
        } else {
            boolean fitsLimit = response.body().length <= MAX_STORED_BODY_BYTES;
            writeClaim(key, claim.withOutcome(State.DONE, fitsLimit ? response : null));
        }
    }

    private void writeClaim(String key, Claim claim) {
        commitInBackground(
                Transaction.builder().put(key, Json.write(claim), claim.lease()).build(),
                "The outcome of a claim cannot be recorded.");
    }

    /**
     * Removes a claim whose request has certainly not run.
     *
     * <p>Also called if creating the claim has failed, as it may have been created nevertheless.
     */
    private void removeClaim(String key, Claim claim) {
        Uni<TransactionResult> removal =
                mStore.get(key)
                        .flatMap(
                                found -> {
                                    boolean isOwnClaim =
                                            !found.isEmpty()
                                                    && parseClaim(found)
                                                            .attempt()
                                                            .equals(claim.attempt());
                                    return isOwnClaim
                                            ? mStore.commit(removal(key, found.get(0)))
                                            : Uni.createFrom()
                                                    .item(
                                                            new TransactionResult(
                                                                    mStore.era(),
                                                                    0,
                                                                    true,
                                                                    List.of()));
                                });
        retryInBackground(removal, "An unused claim cannot be removed.");
    }

    private static Transaction removal(String key, KeyValue found) {
        return Transaction.builder().ifUnchanged(key, found.modRevision()).delete(key).build();
    }

    private void commitInBackground(Transaction transaction, String failureMessage) {
        retryInBackground(
                Uni.createFrom().deferred(() -> mStore.commit(transaction)), failureMessage);
    }

    private static void retryInBackground(Uni<TransactionResult> action, String failureMessage) {
        action.onFailure()
                .retry()
                .withBackOff(FIRST_BACKOFF, MAX_BACKOFF)
                .atMost(MAX_WRITE_RETRIES)
                .subscribe()
                .with(
                        done -> {},
                        failure ->
                                LOG.warn(
                                        failureMessage,
                                        LogField.of("error", failure.getMessage())));
    }

    private void runOnEventLoop(Runnable action) {
        mEventLoop.runOnContext(ignored -> action.run());
    }

    /** Defines the states of the run for which a key is claimed. */
    enum State {
        RUNNING,
        DONE,
        UNKNOWN
    }

    /**
     * Represents the claim of one run of a request on an idempotency key; stored as JSON.
     *
     * @param attempt a unique id that distinguishes this claim from others on the same key
     * @param owner the instance that runs the request
     * @param createdMs when the claim was made, in milliseconds since the epoch
     * @param requestDigest the digest of method, URI and body, which detects reuse of the key
     * @param state the state of the run
     * @param answer the response for repeats; null if there is none or it is too long
     * @param lease the id of the lease; the store removes the claim when the lease expires
     */
    record Claim(
            String attempt,
            InstanceId owner,
            long createdMs,
            String requestDigest,
            State state,
            Exchange.StoredResponse answer,
            long lease) {

        Claim withOutcome(State newState, Exchange.StoredResponse newAnswer) {
            return new Claim(attempt, owner, createdMs, requestDigest, newState, newAnswer, lease);
        }

        Claim withLease(long newLease) {
            return new Claim(attempt, owner, createdMs, requestDigest, state, answer, newLease);
        }
    }
}
