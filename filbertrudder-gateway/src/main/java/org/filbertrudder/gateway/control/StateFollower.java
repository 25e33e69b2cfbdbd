package org.filbertrudder.gateway.control;

import io.vertx.core.Context;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.config.EndpointRegistration;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.gateway.config.ServiceRule;
import org.filbertrudder.gateway.control.StateDecisionLog.Decision;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InvalidValueException;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.freshness.ClockReading;
import org.filbertrudder.policy.freshness.StateFreshness;

/**
 * Keeps the operators' state and the registered endpoints up to date.
 *
 * <p>One relay in each failure domain reads both from the store at short intervals with
 * linearizable calls; each response also confirms that nothing newer existed when the request was
 * sent. The other instances request the state and its age from their relay. An instance without a
 * recent confirmation reads from the store itself, and from random peers while the store does not
 * respond.
 */
final class StateFollower {

    private static final ComponentLogger LOG = ComponentLogger.of("state");

    /**
     * The interval at which the operators' state is confirmed, in milliseconds; a fraction of the
     * time within which a change must be in force.
     */
    private static final long STATE_INTERVAL_MS = 900;

    /**
     * The shortest interval between two reads of the operators' state, in milliseconds, however
     * many requests wait for a confirmation.
     */
    private static final long MIN_STATE_INTERVAL_MS = 600;

    /**
     * The interval at which the endpoints are read, in milliseconds; short enough to stop using a
     * leaving endpoint within 4 s.
     */
    private static final long ENDPOINT_INTERVAL_MS = 1_200;

    /** The delay before a retry, in milliseconds; limits the number of calls during an outage. */
    private static final long RETRY_DELAY_MS = 500;

    /** The number of calls of one type that may be pending at the same time. */
    private static final int MAX_PENDING_CALLS = 3;

    /** The time after which a peer's reply to a request is ignored, in milliseconds. */
    private static final long PEER_REPLY_TIMEOUT_MS = 2_000;

    /** The age of the state above which it is requested from random peers, in milliseconds. */
    private static final long ASK_PEERS_AFTER_MS = 2_500;

    /**
     * The age of the relay's data above which this instance reads from the store itself, in
     * milliseconds: the relay's interval, this instance's interval, and a round trip to the store.
     */
    private static final long RELAY_TIMEOUT_MS = 2_400;

    /**
     * The interval at which an instance that is not a relay reads from the store, in milliseconds.
     */
    private static final long FALLBACK_INTERVAL_MS = 1_800;

    /**
     * The age above which an endpoint list is not sent to or accepted from peers, in milliseconds.
     */
    private static final long MAX_SHARED_ENDPOINTS_AGE_MS = 2 * ENDPOINT_INTERVAL_MS;

    private final Context mContext;
    private final StateSource mSource;
    private final StateFreshness mStateFreshness;
    private final Listener mListener;
    private final EndpointRegistry mRegistry;
    private final StateDecisionLog mDecisions = new StateDecisionLog();
    private final Map<Long, ClockReading> mPeerRequestTimes = new HashMap<>();
    private final List<Runnable> mConfirmationWaiters = new ArrayList<>();
    private OperatorState mState = OperatorState.NONE;
    private ClockReading mStateAsOf;
    private GatewayConfiguration mConfiguration;
    private Map<String, String> mRegistrations = Map.of();
    private long mEndpointsReadMs = Long.MIN_VALUE / 2;
    private long mNextStateReadMs;
    private long mLastStateReadMs;
    private long mNextEndpointReadMs;
    private long mNextPeerRequestMs;
    private long mNextRelayRequestMs;
    private boolean mConfirmationRequested;
    private int mPendingStateCalls;
    private int mPendingEndpointCalls;
    private long mNextPeerRequestId = 1;
    private boolean mStoreUnavailable;

    StateFollower(
            Context context, StateSource source, StateFreshness stateFreshness, Listener listener) {
        mContext = context;
        mSource = source;
        mStateFreshness = stateFreshness;
        mListener = listener;
        mRegistry = new EndpointRegistry(this::warmupMs);
    }

    private long warmupMs(ServiceId service) {
        return Optional.ofNullable(mConfiguration)
                .flatMap(configuration -> configuration.service(service))
                .map(ServiceRule::warmupMs)
                .orElse(0L);
    }

    /** Starts the store reads and peer requests that are due. */
    void tick(ClockReading now) {
        long nowMs = now.steadyMs();
        boolean asRelay = mListener.isRelay() || !isReady();
        boolean stateOutdated = mStateFreshness.ageMs(now) > RELAY_TIMEOUT_MS;
        if (nowMs >= mNextRelayRequestMs && !asRelay) {
            mNextRelayRequestMs = nowMs + STATE_INTERVAL_MS;
            mListener.sendToRelay(newStateRequest(now));
        }
        boolean stateDue = nowMs >= mNextStateReadMs && mPendingStateCalls < MAX_PENDING_CALLS;
        if (stateDue && (asRelay || stateOutdated || mConfirmationRequested)) {
            mConfirmationRequested = false;
            mNextStateReadMs = nowMs + (asRelay ? STATE_INTERVAL_MS : FALLBACK_INTERVAL_MS);
            readState(now);
        }
        boolean endpointsOutdated = nowMs - mEndpointsReadMs > RELAY_TIMEOUT_MS;
        boolean endpointsDue =
                nowMs >= mNextEndpointReadMs && mPendingEndpointCalls < MAX_PENDING_CALLS;
        if (endpointsDue && (asRelay || endpointsOutdated)) {
            mNextEndpointReadMs = nowMs + (asRelay ? ENDPOINT_INTERVAL_MS : FALLBACK_INTERVAL_MS);
            readEndpoints();
        }
        if (mStateFreshness.ageMs(now) > ASK_PEERS_AFTER_MS && nowMs >= mNextPeerRequestMs) {
            mNextPeerRequestMs = nowMs + RETRY_DELAY_MS;
            mListener.sendToPeers(newStateRequest(now));
        }
    }

    private void readState(ClockReading requestedAt) {
        mLastStateReadMs = requestedAt.steadyMs();
        mPendingStateCalls++;
        mSource.readOperatorState(mState)
                .subscribe()
                .with(
                        state -> runOnContext(() -> handleState(state, requestedAt)),
                        failure -> runOnContext(() -> handleStateFailure(failure)));
    }

    private void runOnContext(Runnable action) {
        mContext.runOnContext(ignored -> action.run());
    }

    private void handleState(OperatorState state, ClockReading requestedAt) {
        mPendingStateCalls--;
        if (mStoreUnavailable) {
            mStoreUnavailable = false;
            LOG.info("The store answers again.");
        }
        applyState(state, requestedAt, "store");
    }

    private void handleStateFailure(Throwable failure) {
        mPendingStateCalls--;
        mNextStateReadMs = Math.min(mNextStateReadMs, Clocks.steadyMs() + retryDelayMs());
        if (!mStoreUnavailable) {
            mStoreUnavailable = true;
            LOG.warn("The store does not answer.", LogField.of("error", failure.getMessage()));
        }
    }

    /** Returns the delay after a failed call; the platform charges for calls, also refused ones. */
    private long retryDelayMs() {
        return mListener.isRelay() ? RETRY_DELAY_MS : FALLBACK_INTERVAL_MS;
    }

    /**
     * Applies a state that was complete at the time of its request, unless a newer one has been
     * applied.
     */
    private void applyState(OperatorState state, ClockReading requestedAt, String source) {
        logDecision(state, requestedAt, source);
        if (state.revision() > mState.revision()
                && !applyConfiguration(state, requestedAt, source)) {
            return;
        }
        if (mStateAsOf == null || requestedAt.steadyMs() >= mStateAsOf.steadyMs()) {
            mStateAsOf = requestedAt;
            applyEvacuations(state.evacuations(), source);
        }
        if (state.revision() >= mState.revision()) {
            mStateFreshness.confirm(requestedAt, Clocks.now());
            releaseWaiters();
        }
    }

    private void logDecision(OperatorState state, ClockReading requestedAt, String source) {
        Decision decision = Decision.CONFIRMED;
        if (state.revision() != mState.revision()) {
            decision =
                    state.revision() > mState.revision() ? Decision.APPLIED : Decision.PASSED_OVER;
        }
        mDecisions.log(
                decision,
                state,
                mState,
                mConfiguration == null ? 0 : mConfiguration.version(),
                source,
                Clocks.steadyMs() - requestedAt.steadyMs());
    }

    private boolean applyConfiguration(
            OperatorState state, ClockReading requestedAt, String source) {
        GatewayConfiguration configuration;
        try {
            configuration = mSource.decodeConfiguration(state.configuration());
        } catch (InvalidValueException e) {
            LOG.warn("A configuration cannot be read.", LogField.of("error", e.getMessage()));
            return false;
        }
        mState = state;
        mConfiguration = configuration;
        LOG.info(
                "A configuration is in force.",
                LogField.of("version", configuration.version()),
                LogField.of("revision", state.revision()),
                LogField.of("from", source),
                LogField.of("ageMs", Clocks.steadyMs() - requestedAt.steadyMs()),
                LogField.of("routes", configuration.routeCount()));
        mListener.configurationChanged(configuration);
        return true;
    }

    private void applyEvacuations(Map<FailureDomainId, Long> evacuations, String source) {
        mState =
                new OperatorState(
                        mState.era(), mState.revision(), mState.configuration(), evacuations);
        if (mRegistry.setEvacuated(evacuations.keySet(), Clocks.steadyMs())) {
            LOG.info(
                    "The evacuated failure domains have changed.",
                    LogField.of("domains", evacuations.keySet()),
                    LogField.of("from", source));
            mListener.endpointsChanged();
        }
    }

    private void readEndpoints() {
        mPendingEndpointCalls++;
        long requestedMs = Clocks.steadyMs();
        mSource.readEndpoints()
                .subscribe()
                .with(
                        found -> runOnContext(() -> handleEndpoints(found, requestedMs)),
                        failure -> runOnContext(this::handleEndpointFailure));
    }

    private void handleEndpoints(Map<String, String> found, long requestedMs) {
        mPendingEndpointCalls--;
        if (requestedMs > mEndpointsReadMs) {
            applyEndpoints(found, requestedMs);
        }
    }

    private void applyEndpoints(Map<String, String> found, long readMs) {
        mRegistrations = Map.copyOf(found);
        mEndpointsReadMs = readMs;
        Map<EndpointId, EndpointRegistration> registrations = new HashMap<>();
        found.forEach(
                (id, text) ->
                        mSource.decodeEndpoint(id, text)
                                .ifPresent(
                                        registration ->
                                                registrations.put(
                                                        registration.endpoint().id(),
                                                        registration)));
        if (mRegistry.update(registrations, Clocks.steadyMs())) {
            LOG.info(
                    "The endpoints have changed.",
                    LogField.of("registered", found.size()),
                    LogField.of("understood", registrations.size()));
            mListener.endpointsChanged();
        }
    }

    private void handleEndpointFailure() {
        mPendingEndpointCalls--;
        mRegistry.noteOutage();
        mNextEndpointReadMs = Math.min(mNextEndpointReadMs, Clocks.steadyMs() + retryDelayMs());
    }

    /** Creates a request to a peer; the age of the reply is counted from now. */
    private PeerMessage.OperatorStateRequest newStateRequest(ClockReading now) {
        long id = mNextPeerRequestId++;
        mPeerRequestTimes
                .values()
                .removeIf(
                        requestedAt ->
                                now.steadyMs() - requestedAt.steadyMs() > PEER_REPLY_TIMEOUT_MS);
        mPeerRequestTimes.put(id, now);
        return new PeerMessage.OperatorStateRequest(id, mState.revision(), mRegistry.digest());
    }

    /** Answers the request of a peer; empty if the local state is not confirmed recently enough. */
    Optional<PeerMessage.OperatorStateReply> answer(PeerMessage.OperatorStateRequest request) {
        ClockReading now = Clocks.now();
        if (!mStateFreshness.isFresh(now) || mState.revision() == 0) {
            return Optional.empty();
        }
        boolean includeConfiguration = mState.revision() > request.revision();
        Map<String, Long> evacuations = new HashMap<>();
        mState.evacuations()
                .forEach((domain, revision) -> evacuations.put(domain.value(), revision));
        long endpointsAgeMs = now.steadyMs() - mEndpointsReadMs;
        boolean includeEndpoints =
                endpointsAgeMs < MAX_SHARED_ENDPOINTS_AGE_MS
                        && request.endpointsDigest() != mRegistry.digest();
        return Optional.of(
                new PeerMessage.OperatorStateReply(
                        request.id(),
                        mStateFreshness.ageMs(now),
                        mState.revision(),
                        includeConfiguration ? mState.configuration() : "",
                        evacuations,
                        includeEndpoints ? mRegistrations : Map.of(),
                        mRegistry.digest(),
                        endpointsAgeMs,
                        mRegistry.isAwaitingReregistration(now.steadyMs())));
    }

    /** Applies the state and endpoints in the reply of a peer. */
    void handle(PeerMessage.OperatorStateReply reply) {
        ClockReading requestedAt = mPeerRequestTimes.get(reply.id());
        if (requestedAt == null || reply.ageMs() < 0 || reply.revision() < mState.revision()) {
            return;
        }
        if (reply.revision() > mState.revision() && reply.configuration().isEmpty()) {
            return;
        }
        Map<FailureDomainId, Long> evacuations = new HashMap<>();
        reply.evacuations()
                .forEach(
                        (domain, revision) ->
                                evacuations.put(FailureDomainId.of(domain), revision));
        ClockReading asOf =
                new ClockReading(
                        requestedAt.steadyMs() - reply.ageMs(),
                        requestedAt.wallMs() - reply.ageMs());
        applyState(
                new OperatorState(
                        mState.era(), reply.revision(), reply.configuration(), evacuations),
                asOf,
                "peer");
        if (reply.endpointsAgeMs() >= 0 && reply.endpointsAgeMs() < MAX_SHARED_ENDPOINTS_AGE_MS) {
            applyEndpoints(reply, requestedAt.steadyMs() - reply.endpointsAgeMs());
        }
    }

    /**
     * Applies the endpoint list that a peer read at the given time, unless the local list is at
     * least as new.
     */
    private void applyEndpoints(PeerMessage.OperatorStateReply reply, long readMs) {
        if (readMs <= mEndpointsReadMs) {
            return;
        }
        if (reply.afterOutage()) {
            mRegistry.notePeerOutage(Clocks.steadyMs());
        }
        if (!reply.endpoints().isEmpty()) {
            applyEndpoints(reply.endpoints(), readMs);
        } else if (reply.endpointsDigest() == mRegistry.digest()) {
            mEndpointsReadMs = readMs;
            if (mRegistry.confirm(Clocks.steadyMs())) {
                mListener.endpointsChanged();
            }
        }
    }

    /**
     * Runs the action after the next confirmation of the state, and reads the store sooner for it.
     */
    void onNextConfirmation(Runnable action) {
        mConfirmationWaiters.add(action);
        mConfirmationRequested = true;
        mNextStateReadMs = Math.min(mNextStateReadMs, mLastStateReadMs + MIN_STATE_INTERVAL_MS);
    }

    private void releaseWaiters() {
        List<Runnable> waiters = List.copyOf(mConfirmationWaiters);
        mConfirmationWaiters.clear();
        waiters.forEach(Runnable::run);
    }

    /** Returns the configuration in force; null until the first one has been read. */
    GatewayConfiguration configuration() {
        return mConfiguration;
    }

    /** Returns the store revision of the configuration in force; 0 until the first one was read. */
    long revision() {
        return mState.revision();
    }

    /** Returns the record of the decisions about received states. */
    StateDecisionLog decisions() {
        return mDecisions;
    }

    List<EndpointAvailability> endpoints() {
        return mRegistry.availabilities();
    }

    /** Returns whether the configuration and the endpoints have been read. */
    boolean isReady() {
        return mConfiguration != null && mRegistry.hasRead();
    }

    /** Receives changes and sends state requests to other instances. */
    interface Listener {

        /** Called when a new configuration is in force. */
        void configurationChanged(GatewayConfiguration configuration);

        /** Called when the endpoints or the evacuated failure domains have changed. */
        void endpointsChanged();

        /** Returns whether this instance reads the store on behalf of its failure domain. */
        boolean isRelay();

        /** Sends the request to the relay of this failure domain. */
        void sendToRelay(PeerMessage.OperatorStateRequest request);

        /** Sends the request to a few randomly chosen instances. */
        void sendToPeers(PeerMessage.OperatorStateRequest request);
    }
}
