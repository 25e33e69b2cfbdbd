package org.filbertrudder.gateway.control;

import io.vertx.core.Context;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.BoundSettings;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.gateway.config.RouteRule;
import org.filbertrudder.gateway.config.ServiceRule;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.StoreEra;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.freshness.ClockReading;
import org.filbertrudder.policy.freshness.OperatorStateTracker;
import org.filbertrudder.policy.freshness.OperatorStateTracker.Verdict;
import org.filbertrudder.policy.freshness.PeerConsultation;
import org.filbertrudder.policy.freshness.ReadTimer;
import org.filbertrudder.policy.freshness.RefreshSchedule;
import org.filbertrudder.policy.freshness.ReregistrationWindow;
import org.filbertrudder.policy.freshness.StateFreshness;
import org.filbertrudder.policy.freshness.StorePosition;

/**
 * Keeps the operators' state and, with {@link EndpointFollower}, the registered endpoints up to
 * date.
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

    /** The delay before a retry, in milliseconds; limits the number of calls during an outage. */
    private static final long RETRY_DELAY_MS = 500;

    /** The number of calls of one type that may be pending at the same time. */
    private static final int MAX_PENDING_CALLS = 3;

    /** The time after which a peer's reply to a request is ignored, in milliseconds. */
    private static final long PEER_REPLY_TIMEOUT_MS = 2_000;

    /** The age of the state above which it is requested from random peers, in milliseconds. */
    private static final long ASK_PEERS_AFTER_MS = 2_500;

    /**
     * The time from the end of the doubt about an outage to the last request to an endpoint that
     * was kept for it, in milliseconds.
     */
    private static final long DOUBT_MARGIN_MS = 500;

    private static final int ASKED_PEERS = 2;
    private static final int MAX_LOGGED_ROUTES = 16;
    private static final long NOT_CONFIRMED = -1;

    private final Context mContext;
    private final StateSource mSource;
    private final StateFreshness mStateFreshness;
    private final Listener mListener;
    private final RefreshSchedule mSchedule;
    private final ReadTimer mStateTimer;
    private final ReregistrationWindow mWindow;
    private final EndpointRegistry mRegistry;
    private final EndpointFollower mEndpoints;
    private final StateDecisionLog mDecisions = new StateDecisionLog();
    private final Map<Long, ClockReading> mPeerRequestTimes = new HashMap<>();
    private final List<Runnable> mConfirmationWaiters = new ArrayList<>();
    private final OperatorStateTracker mTracker = new OperatorStateTracker();
    private final PeerConsultation mConsultation = new PeerConsultation();
    private final CachedConfigurationDecoder mDecoder;

    /** The last response of the store, whose revisions the next request is compared with. */
    private OperatorState mLastRead = OperatorState.NONE;

    private String mDocument = "";
    private GatewayConfiguration mConfiguration;
    private long mLastStateReadMs;
    private long mNextPeerRequestMs;
    private long mNextRelayRequestMs;
    private boolean mConfirmationRequested;
    private int mPendingStateCalls;
    private long mNextPeerRequestId = 1;
    private boolean mStoreUnavailable;
    private ClockReading mPendingConfirmation;

    StateFollower(
            Context context,
            StateSource source,
            BoundSettings bounds,
            StateFreshness stateFreshness,
            Listener listener) {
        mContext = context;
        mSource = source;
        mDecoder = new CachedConfigurationDecoder(source);
        mStateFreshness = stateFreshness;
        mListener = listener;
        mSchedule = RefreshSchedule.forBound(bounds.endpointLeaveMs());
        mStateTimer = new ReadTimer(STATE_INTERVAL_MS, mSchedule.retryMs());
        mWindow =
                new ReregistrationWindow(
                        mSchedule,
                        bounds.endpointHeartbeatMs(),
                        bounds.endpointLeaveMs() - DOUBT_MARGIN_MS);
        mRegistry = new EndpointRegistry(this::warmupMs, mWindow);
        mEndpoints =
                new EndpointFollower(
                        context, source, mSchedule, mWindow, mRegistry, listener::endpointsChanged);
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
        if (mTracker.noteEra(mSource.era(), nowMs)) {
            handleNewEra(nowMs);
        }
        boolean asRelay = mListener.isRelay() || !isReady();
        boolean stateOutdated = mStateFreshness.ageMs(now) > mSchedule.relayTimeoutMs();
        if (nowMs >= mNextRelayRequestMs && !asRelay) {
            mNextRelayRequestMs = nowMs + mSchedule.followerIntervalMs();
            mListener.sendToRelay(newStateRequest(now));
        }
        boolean stateDue = mStateTimer.isDue(nowMs) && mPendingStateCalls < MAX_PENDING_CALLS;
        if (stateDue && (asRelay || stateOutdated || mConfirmationRequested)) {
            mConfirmationRequested = false;
            mStateTimer.noteRead(asRelay, stateOutdated, nowMs);
            readState(now);
        }
        mEndpoints.tick(asRelay, nowMs);
        if (!mConsultation.hasEnded()) {
            consultPeers(now);
        } else if (nowMs >= mNextPeerRequestMs
                && (mStateFreshness.ageMs(now) > ASK_PEERS_AFTER_MS
                        || mEndpoints.hasFailedReads()
                        || mTracker.isSettling(nowMs))) {
            mNextPeerRequestMs = nowMs + RETRY_DELAY_MS;
            mListener.sendToPeers(newStateRequest(now), ASKED_PEERS);
        }
    }

    /** Asks peers for the newest configuration before this instance follows the one it has read. */
    private void consultPeers(ClockReading now) {
        endConsultationIfOver(now.steadyMs());
        if (!mConsultation.hasEnded() && now.steadyMs() >= mNextPeerRequestMs) {
            mNextPeerRequestMs = now.steadyMs() + RETRY_DELAY_MS;
            PeerMessage.OperatorStateRequest request = newStateRequest(now);
            mConsultation.begin(
                    request.id(), mListener.sendToPeers(request, PeerConsultation.PEERS));
        }
    }

    private void endConsultationIfOver(long nowMs) {
        if (mConsultation.checkEnd(mListener.mayHavePeers(), nowMs)) {
            endConsultation();
        }
    }

    private void endConsultation() {
        if (mConfiguration != null) {
            mListener.configurationChanged(mConfiguration);
        }
        if (mPendingConfirmation != null) {
            confirm(mPendingConfirmation);
        }
    }

    private void handleNewEra(long nowMs) {
        LOG.warn(
                "The store has returned from a copy.",
                LogField.of("era", mTracker.era()),
                LogField.of("knownEra", mTracker.position().era()),
                LogField.of("knownRevision", mTracker.position().revision()),
                LogField.of("knownVersion", mTracker.position().version()));
        mStateTimer.readBy(mLastStateReadMs + MIN_STATE_INTERVAL_MS);
        mNextPeerRequestMs = nowMs;
    }

    private void readState(ClockReading requestedAt) {
        mLastStateReadMs = requestedAt.steadyMs();
        mPendingStateCalls++;
        mSource.readOperatorState(mLastRead)
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
        if (state.isAtLeastAsNewAs(mLastRead)) {
            mLastRead = state;
        }
        applyFromStore(state, requestedAt);
    }

    private void handleStateFailure(Throwable failure) {
        mPendingStateCalls--;
        mStateTimer.noteFailure(mListener.isRelay(), Clocks.steadyMs());
        if (!mStoreUnavailable) {
            mStoreUnavailable = true;
            LOG.warn("The store does not answer.", LogField.of("error", failure.getMessage()));
        }
    }

    /** Applies a response of the store, which was complete at the time of its request. */
    private void applyFromStore(OperatorState state, ClockReading requestedAt) {
        Optional<GatewayConfiguration> configuration = mDecoder.decode(state.configuration());
        if (configuration.isEmpty() && !state.configuration().isEmpty()) {
            return;
        }
        long version = configuration.map(GatewayConfiguration::version).orElse(0L);
        StorePosition found = new StorePosition(state.era(), state.revision(), version);
        long nowMs = Clocks.steadyMs();
        StorePosition known = mTracker.position();
        Verdict verdict = offer(found, state.configuration(), configuration, requestedAt, "store");
        boolean confirms = mTracker.confirms(found, requestedAt.steadyMs());
        mDecisions.log(verdict, confirms, found, known, "store", nowMs - requestedAt.steadyMs());
        Map<FailureDomainId, StoreEra> evacuations = new HashMap<>();
        state.evacuations().keySet().forEach(domain -> evacuations.put(domain, state.era()));
        applyEvacuations(state.era(), evacuations, requestedAt, "store");
        if (confirms) {
            confirm(requestedAt);
        } else if (verdict != Verdict.OLDER) {
            mStateTimer.readBy(mTracker.confirmsFromMs());
        }
        mConsultation.noteStoreRead(nowMs);
        endConsultationIfOver(nowMs);
    }

    /**
     * Confirms the state in force as of a time; while the peers are asked, only if none of them
     * turns out to know a newer one.
     */
    private void confirm(ClockReading asOf) {
        if (mConsultation.hasEnded()) {
            mStateFreshness.confirm(asOf, Clocks.now());
            mStateTimer.noteCurrent();
            releaseWaiters();
        } else {
            mPendingConfirmation = asOf;
        }
    }

    /** Offers a configuration from the store or a peer, and puts it in force if it is newer. */
    private Verdict offer(
            StorePosition found,
            String document,
            Optional<GatewayConfiguration> configuration,
            ClockReading requestedAt,
            String source) {
        boolean isSameDocument = document.isEmpty() || document.equals(mDocument);
        Verdict verdict = mTracker.offer(found, isSameDocument, Clocks.steadyMs());
        if (verdict == Verdict.NEWER) {
            mPendingConfirmation = null;
            mDocument = document;
            GatewayConfiguration former = mConfiguration;
            mConfiguration = configuration.orElse(null);
            LOG.info(
                    "A configuration is in force.",
                    LogField.of("version", found.version()),
                    LogField.of("era", found.era()),
                    LogField.of("revision", found.revision()),
                    LogField.of("from", source),
                    LogField.of("ageMs", Clocks.steadyMs() - requestedAt.steadyMs()),
                    LogField.of("routes", mConfiguration.routeCount()),
                    LogField.of("homesChanged", namesOfRelocatedRoutes(former)));
            if (mConsultation.hasEnded()) {
                mListener.configurationChanged(mConfiguration);
            }
        }
        return verdict;
    }

    /** Returns the names of the first routes whose allowed regions have changed. */
    private List<String> namesOfRelocatedRoutes(GatewayConfiguration former) {
        return former == null
                ? List.of()
                : mConfiguration.relocatedSince(former).stream()
                        .limit(MAX_LOGGED_ROUTES)
                        .map(RouteRule::name)
                        .toList();
    }

    private void applyEvacuations(
            StoreEra era,
            Map<FailureDomainId, StoreEra> evacuations,
            ClockReading requestedAt,
            String source) {
        mTracker.updateEvacuations(era, evacuations, requestedAt.steadyMs(), Clocks.steadyMs());
        Set<FailureDomainId> evacuated = mTracker.evacuations().keySet();
        if (mRegistry.setEvacuated(evacuated, Clocks.steadyMs())) {
            LOG.info(
                    "The evacuated failure domains have changed.",
                    LogField.of("domains", evacuated),
                    LogField.of("from", source));
            mListener.endpointsChanged();
        }
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
        StorePosition known = mTracker.position();
        return new PeerMessage.OperatorStateRequest(
                id, known.revision(), mRegistry.digest(), known.version());
    }

    /** Answers the request of a peer. */
    PeerMessage.OperatorStateReply answer(PeerMessage.OperatorStateRequest request) {
        ClockReading now = Clocks.now();
        StorePosition known = mTracker.position();
        // An instance of an earlier release states its revision only.
        boolean hasRevision = request.version() == 0 && request.revision() == known.revision();
        boolean includeConfiguration = known.version() > request.version() && !hasRevision;
        Map<String, Long> evacuations = new HashMap<>();
        mTracker.evacuations()
                .forEach((domain, era) -> evacuations.put(domain.value(), era.number()));
        return new PeerMessage.OperatorStateReply(
                request.id(),
                mStateFreshness.isFresh(now) ? mStateFreshness.ageMs(now) : NOT_CONFIRMED,
                known.revision(),
                includeConfiguration ? mDocument : "",
                evacuations,
                mEndpoints.registrationsFor(request.endpointsDigest(), now.steadyMs()),
                mRegistry.digest(),
                mEndpoints.ageMs(now.steadyMs()),
                mWindow.isOpen(now.steadyMs()),
                known.version(),
                known.era().number(),
                mTracker.era().number(),
                mTracker.eraAgeMs(now.steadyMs()),
                mEndpoints.era().number());
    }

    /** Applies the state and endpoints in the reply of a peer. */
    void handle(PeerMessage.OperatorStateReply reply) {
        ClockReading requestedAt = mPeerRequestTimes.get(reply.id());
        if (requestedAt == null) {
            return;
        }
        long nowMs = Clocks.steadyMs();
        noteEra(reply, nowMs);
        Optional<GatewayConfiguration> configuration = mDecoder.decode(reply.configuration());
        long version = configuration.map(GatewayConfiguration::version).orElse(reply.version());
        StorePosition known = mTracker.position();
        boolean isUsable =
                version >= known.version()
                        && (version == known.version() || configuration.isPresent());
        if (isUsable) {
            applyFromPeer(reply, configuration, version, requestedAt);
        }
        boolean knowsState = reply.ageMs() >= 0 || version > known.version();
        if (mConsultation.handleReply(reply.id(), knowsState)) {
            endConsultation();
        }
    }

    private void noteEra(PeerMessage.OperatorStateReply reply, long nowMs) {
        StoreEra era = new StoreEra(reply.newestEra());
        boolean isNew =
                reply.newestEraAgeMs() < 0
                        ? mTracker.noteEra(era, nowMs)
                        : mTracker.noteEraAge(era, reply.newestEraAgeMs(), nowMs);
        if (isNew) {
            handleNewEra(nowMs);
        }
    }

    private void applyFromPeer(
            PeerMessage.OperatorStateReply reply,
            Optional<GatewayConfiguration> configuration,
            long version,
            ClockReading requestedAt) {
        StorePosition known = mTracker.position();
        StorePosition found =
                new StorePosition(new StoreEra(reply.era()), reply.revision(), version);
        long ageMs = Math.max(0, reply.ageMs());
        ClockReading asOf =
                new ClockReading(requestedAt.steadyMs() - ageMs, requestedAt.wallMs() - ageMs);
        boolean isConfirmed =
                reply.ageMs() >= 0
                        && mTracker.trusts(
                                new StoreEra(reply.newestEra()),
                                reply.newestEraAgeMs(),
                                asOf.steadyMs());
        Verdict verdict = offer(found, reply.configuration(), configuration, asOf, "peer");
        mDecisions.log(
                verdict, isConfirmed, found, known, "peer", Clocks.steadyMs() - asOf.steadyMs());
        if (isConfirmed) {
            applyEvacuations(reply, asOf);
            confirm(asOf);
        }
        mEndpoints.apply(reply, requestedAt.steadyMs());
    }

    private void applyEvacuations(PeerMessage.OperatorStateReply reply, ClockReading asOf) {
        // An instance of an earlier release states no eras.
        boolean statesEras = reply.newestEra() > 0;
        StoreEra era = statesEras ? new StoreEra(reply.newestEra()) : mTracker.era();
        Map<FailureDomainId, StoreEra> evacuations = new HashMap<>();
        reply.evacuations()
                .forEach(
                        (domain, seen) ->
                                evacuations.put(
                                        FailureDomainId.of(domain),
                                        statesEras ? new StoreEra(seen) : era));
        applyEvacuations(era, evacuations, asOf, "peer");
    }

    /**
     * Runs the action after the next confirmation of the state, and reads the store sooner for it.
     */
    void onNextConfirmation(Runnable action) {
        mConfirmationWaiters.add(action);
        mConfirmationRequested = true;
        mStateTimer.readBy(mLastStateReadMs + MIN_STATE_INTERVAL_MS);
    }

    private void releaseWaiters() {
        List<Runnable> waiters = List.copyOf(mConfirmationWaiters);
        mConfirmationWaiters.clear();
        waiters.forEach(Runnable::run);
    }

    /**
     * Returns the configuration in force; null until one has been read and the peers have been
     * asked for a newer one.
     */
    GatewayConfiguration configuration() {
        return mConsultation.hasEnded() ? mConfiguration : null;
    }

    /** Returns the store revision of the configuration in force; 0 until the first one was read. */
    long revision() {
        return mTracker.position().revision();
    }

    /** Returns the version of the configuration in force; 0 until the first one was read. */
    long version() {
        return mTracker.position().version();
    }

    /** Returns the record of the decisions about received states. */
    StateDecisionLog decisions() {
        return mDecisions;
    }

    List<EndpointAvailability> endpoints() {
        return mRegistry.availabilities();
    }

    /**
     * Returns as of when the published endpoints are complete, as a reading of the steady clock in
     * milliseconds; may be called from any thread.
     */
    long endpointsAsOfMs() {
        return mEndpoints.publishedAsOfMs();
    }

    /** Returns whether the configuration and the endpoints have been read. */
    boolean isReady() {
        return configuration() != null && mRegistry.hasRead();
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

        /** Returns whether there may be other instances. */
        boolean mayHavePeers();

        /**
         * Sends the request to randomly chosen instances, at most to the given number; returns to
         * how many it was sent.
         */
        int sendToPeers(PeerMessage.OperatorStateRequest request, int maxPeers);
    }
}
