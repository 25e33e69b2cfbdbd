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
 * <p>One relay in each failure domain reads both from the store at short intervals by linearizable
 * calls; each answer also confirms that nothing newer existed when the question was sent. The
 * others ask their relay what it knows and since when. Whoever has no recent confirmation asks the
 * store itself, and any other instance while the store does not answer.
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

    /** The age after which the reply to a question is ignored, in milliseconds. */
    private static final long MAX_QUESTION_AGE_MS = 2_000;

    /** The age of the state from which any other instances are asked, in milliseconds. */
    private static final long ASK_PEERS_AFTER_MS = 2_500;

    /**
     * The age of what a relay has told after which the store is asked: the interval of the relay,
     * that of this instance, and the way to the store and back.
     */
    private static final long RELAY_SILENCE_MS = 2_400;

    /** How often an instance asks the store that is no relay, in milliseconds. */
    private static final long FALLBACK_INTERVAL_MS = 1_800;

    /** A relay without a newer reading of the endpoints than this tells none, in milliseconds. */
    private static final long MAX_TOLD_AGE_MS = 2 * ENDPOINT_INTERVAL_MS;

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
    private long mNextQuestionMs;
    private boolean mUrgent;
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
        boolean relay = mListener.isRelay() || !isReady();
        boolean outdated = mFence.ageMs(now) > RELAY_SILENCE_MS;
        if (nowMs >= mNextQuestionMs && !relay) {
            mNextQuestionMs = nowMs + STATE_INTERVAL_MS;
            mListener.askRelay(question(now));
        }
        boolean stateDue = nowMs >= mNextStateMs && mOpenStateCalls < MAX_OPEN_CALLS;
        if (stateDue && (relay || outdated || mUrgent)) {
            mUrgent = false;
            mNextStateMs = nowMs + (relay ? STATE_INTERVAL_MS : FALLBACK_INTERVAL_MS);
            readState(now);
        }
        boolean endpointsOutdated = nowMs - mEndpointsReadMs > RELAY_SILENCE_MS;
        boolean endpointsDue = nowMs >= mNextEndpointsMs && mOpenEndpointCalls < MAX_OPEN_CALLS;
        if (endpointsDue && (relay || endpointsOutdated)) {
            mNextEndpointsMs = nowMs + (relay ? ENDPOINT_INTERVAL_MS : FALLBACK_INTERVAL_MS);
            readEndpoints();
        }
        if (mFence.ageMs(now) > ASK_PEERS_AFTER_MS && nowMs >= mNextPeersMs) {
            mNextPeersMs = nowMs + RETRY_MS;
            mListener.askPeers(question(now));
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
        mNextStateMs = Math.min(mNextStateMs, Clocks.steadyMs() + retryMs());
        if (!mStoreLost) {
            mStoreLost = true;
            LOG.warn("The store does not answer.", Field.of("error", failure.getMessage()));
        }
    }

    /** Returns the pause after a failed call; calls are priced, also refused ones. */
    private long retryMs() {
        return mListener.isRelay() ? RETRY_MS : FALLBACK_INTERVAL_MS;
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
        long askedMs = Clocks.steadyMs();
        mSource.readEndpoints()
                .subscribe()
                .with(
                        found -> execute(() -> endpointsRead(found, askedMs)),
                        failure -> execute(this::endpointsFailed));
    }

    private void endpointsRead(Map<String, String> found, long askedMs) {
        mOpenEndpointCalls--;
        if (askedMs > mEndpointsReadMs) {
            adoptEndpoints(found, askedMs);
        }
    }

    private void adoptEndpoints(Map<String, String> found, long readMs) {
        mRegistrations = Map.copyOf(found);
        mEndpointsReadMs = readMs;
        Map<EndpointId, EndpointEntry> entries = new HashMap<>();
        found.forEach(
                (id, text) ->
                        mSource.decodeEndpoint(id, text)
                                .ifPresent(entry -> entries.put(entry.endpoint().id(), entry)));
        if (mRegistry.update(entries, Clocks.steadyMs())) {
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
        mNextEndpointsMs = Math.min(mNextEndpointsMs, Clocks.steadyMs() + retryMs());
    }

    /** Returns a question to another instance, whose reply counts as of now. */
    private PeerMessage.StateRequest question(Moment now) {
        long id = mNextQuestion++;
        mPeerQuestions
                .values()
                .removeIf(asked -> now.steadyMs() - asked.steadyMs() > MAX_QUESTION_AGE_MS);
        mPeerQuestions.put(id, now);
        return new PeerMessage.StateRequest(id, mState.revision(), mRegistry.digest());
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
        long endpointsAgeMs = now.steadyMs() - mEndpointsReadMs;
        boolean tells =
                endpointsAgeMs < MAX_TOLD_AGE_MS && request.endpointsDigest() != mRegistry.digest();
        return Optional.of(
                new PeerMessage.StateReply(
                        request.id(),
                        mFence.ageMs(now),
                        mState.revision(),
                        newer ? mState.configuration() : "",
                        evacuations,
                        tells ? mRegistrations : Map.of(),
                        mRegistry.digest(),
                        endpointsAgeMs,
                        mRegistry.isAfterOutage(now.steadyMs())));
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
        if (reply.endpointsAgeMs() >= 0 && reply.endpointsAgeMs() < MAX_TOLD_AGE_MS) {
            adoptEndpoints(reply, asked.steadyMs() - reply.endpointsAgeMs());
        }
    }

    /**
     * Adopts the endpoints that another instance read at a time, unless they are known as newer.
     */
    private void adoptEndpoints(PeerMessage.StateReply reply, long readMs) {
        if (readMs <= mEndpointsReadMs) {
            return;
        }
        if (reply.afterOutage()) {
            mRegistry.noteOthersOutage(Clocks.steadyMs());
        }
        if (!reply.endpoints().isEmpty()) {
            adoptEndpoints(reply.endpoints(), readMs);
        } else if (reply.endpointsDigest() == mRegistry.digest()) {
            mEndpointsReadMs = readMs;
            if (mRegistry.confirm(Clocks.steadyMs())) {
                mListener.endpointsChanged();
            }
        }
    }

    /** Runs the action once the state has been confirmed again; asks the store a little sooner. */
    void onNextConfirmation(Runnable action) {
        mConfirmationWaiters.add(action);
        mUrgent = true;
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

        /** Returns whether this instance asks the store for others of its failure domain. */
        boolean isRelay();

        /** Sends the question to the relay of this failure domain. */
        void askRelay(PeerMessage.StateRequest request);

        /** Sends the question to some other instances. */
        void askPeers(PeerMessage.StateRequest request);
    }
}
