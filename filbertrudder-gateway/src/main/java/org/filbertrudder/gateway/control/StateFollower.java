package org.filbertrudder.gateway.control;

import io.vertx.core.Context;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.filbertrudder.entry.log.Field;
import org.filbertrudder.entry.log.PartLog;
import org.filbertrudder.gateway.config.EndpointEntry;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.gateway.config.ServiceRule;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InvalidValueException;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.freshness.FreshnessFence;
import org.filbertrudder.policy.freshness.Moment;

/**
 * Keeps the operators' state and the registered endpoints up to date.
 *
 * <p>Both are read from the store at short intervals by linearizable calls; each answer also
 * confirms that nothing newer existed when the question was sent. While the store does not answer,
 * other instances are asked what they know and since when.
 */
final class StateFollower {

    private static final PartLog LOG = PartLog.of("state");

    /** How often the operators' state is confirmed; a fraction of the time to adopt a change. */
    private static final long STATE_INTERVAL_MS = 900;

    /** Requests that wait for newer state do not cost more calls than this, in milliseconds. */
    private static final long MIN_STATE_INTERVAL_MS = 600;

    /** How often the endpoints are read; leaves time to act on a leaving one within 4 s. */
    private static final long ENDPOINT_INTERVAL_MS = 1_200;

    /** The pause before another try after a failure; keeps an outage from costing many calls. */
    private static final long RETRY_MS = 500;

    /** Calls without an answer after which no further one is started. */
    private static final int MAX_OPEN_CALLS = 3;

    /** The age of the state from which other instances are asked, in milliseconds. */
    private static final long ASK_PEERS_AFTER_MS = 2_200;

    private final Context mContext;
    private final StateSource mSource;
    private final FreshnessFence mFence;
    private final Listener mListener;
    private final EndpointRegistry mRegistry;
    private final Map<Long, Moment> mPeerQuestions = new HashMap<>();
    private final List<Runnable> mConfirmationWaiters = new ArrayList<>();
    private OperatorState mState = OperatorState.NONE;
    private Moment mStateAsOf;
    private GatewayConfiguration mConfiguration;
    private Map<String, String> mRegistrations = Map.of();
    private long mEndpointsReadMs = Long.MIN_VALUE / 2;
    private long mNextStateMs;
    private long mStateAskedMs;
    private long mNextEndpointsMs;
    private long mNextPeersMs;
    private int mOpenStateCalls;
    private int mOpenEndpointCalls;
    private long mNextQuestion = 1;
    private boolean mStoreLost;

    StateFollower(Context context, StateSource source, FreshnessFence fence, Listener listener) {
        mContext = context;
        mSource = source;
        mFence = fence;
        mListener = listener;
        mRegistry = new EndpointRegistry(this::warmupMs);
    }

    private long warmupMs(ServiceId service) {
        return Optional.ofNullable(mConfiguration)
                .flatMap(configuration -> configuration.service(service))
                .map(ServiceRule::warmupMs)
                .orElse(0L);
    }

    /** Starts the calls that are due. */
    void tick(Moment now) {
        long nowMs = now.steadyMs();
        if (nowMs >= mNextStateMs && mOpenStateCalls < MAX_OPEN_CALLS) {
            mNextStateMs = nowMs + STATE_INTERVAL_MS;
            readState(now);
        }
        if (nowMs >= mNextEndpointsMs && mOpenEndpointCalls < MAX_OPEN_CALLS) {
            mNextEndpointsMs = nowMs + ENDPOINT_INTERVAL_MS;
            readEndpoints();
        }
        boolean outdated = mFence.ageMs(now) > ASK_PEERS_AFTER_MS;
        if (outdated && nowMs >= mNextPeersMs) {
            mNextPeersMs = nowMs + RETRY_MS;
            askPeers(now);
        }
    }

    private void readState(Moment askedAt) {
        mStateAskedMs = askedAt.steadyMs();
        mOpenStateCalls++;
        mSource.readOperatorState(mState)
                .subscribe()
                .with(
                        state -> execute(() -> stateRead(state, askedAt)),
                        failure -> execute(() -> stateFailed(failure)));
    }

    private void execute(Runnable action) {
        mContext.runOnContext(ignored -> action.run());
    }

    private void stateRead(OperatorState state, Moment askedAt) {
        mOpenStateCalls--;
        if (mStoreLost) {
            mStoreLost = false;
            LOG.info("The store answers again.");
        }
        adopt(state, askedAt, "store");
    }

    private void stateFailed(Throwable failure) {
        mOpenStateCalls--;
        mNextStateMs = Math.min(mNextStateMs, Clocks.steadyMs() + RETRY_MS);
        if (!mStoreLost) {
            mStoreLost = true;
            LOG.warn("The store does not answer.", Field.of("error", failure.getMessage()));
        }
    }

    /** Adopts a state that was complete when the question for it was asked. */
    private void adopt(OperatorState state, Moment askedAt, String from) {
        if (state.revision() > mState.revision() && !adoptConfiguration(state, askedAt, from)) {
            return;
        }
        if (mStateAsOf == null || askedAt.steadyMs() >= mStateAsOf.steadyMs()) {
            mStateAsOf = askedAt;
            adoptEvacuations(state.evacuations(), from);
        }
        if (state.revision() >= mState.revision()) {
            mFence.confirm(askedAt, Clocks.now());
            releaseWaiters();
        }
    }

    private boolean adoptConfiguration(OperatorState state, Moment askedAt, String from) {
        GatewayConfiguration configuration;
        try {
            configuration = mSource.decodeConfiguration(state.configuration());
        } catch (InvalidValueException e) {
            LOG.warn("A configuration cannot be read.", Field.of("error", e.getMessage()));
            return false;
        }
        mState = state;
        mConfiguration = configuration;
        LOG.info(
                "A configuration is in force.",
                Field.of("version", configuration.version()),
                Field.of("revision", state.revision()),
                Field.of("from", from),
                Field.of("ageMs", Clocks.steadyMs() - askedAt.steadyMs()),
                Field.of("routes", configuration.routeCount()));
        mListener.configurationChanged(configuration);
        return true;
    }

    private void adoptEvacuations(Map<FailureDomainId, Long> evacuations, String from) {
        mState = new OperatorState(mState.revision(), mState.configuration(), evacuations);
        if (mRegistry.setEvacuated(evacuations.keySet(), Clocks.steadyMs())) {
            LOG.info(
                    "The evacuated failure domains have changed.",
                    Field.of("domains", evacuations.keySet()),
                    Field.of("from", from));
            mListener.endpointsChanged();
        }
    }

    private void readEndpoints() {
        mOpenEndpointCalls++;
        mSource.readEndpoints()
                .subscribe()
                .with(
                        found -> execute(() -> endpointsRead(found)),
                        failure -> execute(this::endpointsFailed));
    }

    private void endpointsRead(Map<String, String> found) {
        mOpenEndpointCalls--;
        adoptEndpoints(found);
    }

    private void adoptEndpoints(Map<String, String> found) {
        mRegistrations = Map.copyOf(found);
        mEndpointsReadMs = Clocks.steadyMs();
        Map<EndpointId, EndpointEntry> entries = new HashMap<>();
        found.forEach(
                (id, text) ->
                        mSource.decodeEndpoint(id, text)
                                .ifPresent(entry -> entries.put(entry.endpoint().id(), entry)));
        if (mRegistry.update(entries, mEndpointsReadMs)) {
            LOG.info(
                    "The endpoints have changed.",
                    Field.of("registered", found.size()),
                    Field.of("understood", entries.size()));
            mListener.endpointsChanged();
        }
    }

    private void endpointsFailed() {
        mOpenEndpointCalls--;
        mRegistry.noteOutage();
        mNextEndpointsMs = Math.min(mNextEndpointsMs, Clocks.steadyMs() + RETRY_MS);
    }

    private void askPeers(Moment now) {
        long id = mNextQuestion++;
        mPeerQuestions.values().removeIf(asked -> now.steadyMs() - asked.steadyMs() > 2_000);
        mPeerQuestions.put(id, now);
        mListener.askPeers(new PeerMessage.StateRequest(id, mState.revision()));
    }

    /** Answers another instance, if the state here is confirmed recently enough. */
    Optional<PeerMessage.StateReply> answer(PeerMessage.StateRequest request) {
        Moment now = Clocks.now();
        if (!mFence.isOpen(now) || mState.revision() == 0) {
            return Optional.empty();
        }
        boolean newer = mState.revision() > request.revision();
        Map<String, Long> evacuations = new HashMap<>();
        mState.evacuations()
                .forEach((domain, revision) -> evacuations.put(domain.value(), revision));
        boolean endpointsNew = now.steadyMs() - mEndpointsReadMs < 2 * ENDPOINT_INTERVAL_MS;
        return Optional.of(
                new PeerMessage.StateReply(
                        request.id(),
                        mFence.ageMs(now),
                        mState.revision(),
                        newer ? mState.configuration() : "",
                        evacuations,
                        endpointsNew ? mRegistrations : Map.of()));
    }

    /** Adopts what another instance knows. */
    void handle(PeerMessage.StateReply reply) {
        Moment asked = mPeerQuestions.get(reply.id());
        if (asked == null || reply.ageMs() < 0 || reply.revision() < mState.revision()) {
            return;
        }
        if (reply.revision() > mState.revision() && reply.configuration().isEmpty()) {
            return;
        }
        Map<FailureDomainId, Long> evacuations = new HashMap<>();
        reply.evacuations()
                .forEach((domain, at) -> evacuations.put(FailureDomainId.of(domain), at));
        Moment asOf = new Moment(asked.steadyMs() - reply.ageMs(), asked.wallMs() - reply.ageMs());
        adopt(
                new OperatorState(reply.revision(), reply.configuration(), evacuations),
                asOf,
                "peer");
        boolean own = Clocks.steadyMs() - mEndpointsReadMs < 2 * ENDPOINT_INTERVAL_MS;
        if (!own && !reply.endpoints().isEmpty()) {
            adoptEndpoints(reply.endpoints());
            mRegistry.noteOutage();
        }
    }

    /** Runs the action once the state has been confirmed again; asks the store a little sooner. */
    void onNextConfirmation(Runnable action) {
        mConfirmationWaiters.add(action);
        mNextStateMs = Math.min(mNextStateMs, mStateAskedMs + MIN_STATE_INTERVAL_MS);
    }

    private void releaseWaiters() {
        List<Runnable> waiters = List.copyOf(mConfirmationWaiters);
        mConfirmationWaiters.clear();
        waiters.forEach(Runnable::run);
    }

    /** Returns the configuration in force; null before the first. */
    GatewayConfiguration configuration() {
        return mConfiguration;
    }

    /** Returns the store revision of the configuration in force; 0 before the first. */
    long revision() {
        return mState.revision();
    }

    List<EndpointView> endpoints() {
        return mRegistry.views();
    }

    /** Returns whether the instance knows enough to serve. */
    boolean isReady() {
        return mConfiguration != null && mRegistry.isComplete();
    }

    /** Is told of changes and carries questions to other instances. */
    interface Listener {

        /** Handles a new configuration. */
        void configurationChanged(GatewayConfiguration configuration);

        /** Handles a change of the endpoints or evacuations. */
        void endpointsChanged();

        /** Sends the question to some other instances. */
        void askPeers(PeerMessage.StateRequest request);
    }
}
