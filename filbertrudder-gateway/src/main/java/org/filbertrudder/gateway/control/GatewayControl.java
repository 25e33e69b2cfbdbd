package org.filbertrudder.gateway.control;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.filbertrudder.entry.control.CrashReportRegistry;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.BoundSettings;
import org.filbertrudder.gateway.GatewaySettings;
import org.filbertrudder.gateway.config.AccountRule;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Contract;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.StoreEra;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerCounters;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.peer.PeerSecurity;
import org.filbertrudder.policy.freshness.ClockReading;
import org.filbertrudder.policy.freshness.RefreshSchedule;
import org.filbertrudder.policy.freshness.StateFreshness;
import org.filbertrudder.policy.membership.Membership;
import org.filbertrudder.policy.membership.MembershipSettings;
import org.filbertrudder.policy.membership.OutboundMessage;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.policy.membership.RelaySelection;
import org.filbertrudder.policy.tokens.InstanceShares;
import org.filbertrudder.policy.tokens.TokenSettings;

/**
 * Maintains the control state of a gateway instance (membership, configuration, endpoints, token
 * shares) on one thread and publishes snapshots of it to the traffic thread.
 */
public final class GatewayControl {

    private static final ComponentLogger LOG = ComponentLogger.of("control");
    private static final long TICK_MS = RefreshSchedule.TICK_MS;

    /**
     * Subtracted from the time within which a change of the operators' state must be in force, for
     * network delays, in milliseconds.
     */
    private static final long STATE_CHANGE_MARGIN_MS = 500;

    /**
     * The largest difference between the times elapsed on the steady clock and on the wall clock,
     * in milliseconds; a larger one may mean that the process was suspended.
     */
    private static final long MAX_CLOCK_GAP_MS = 250;

    private static final long REGISTRATION_INTERVAL_MS = 2_000;

    /**
     * The time in which one instance registers again after the store has returned from a copy, in
     * milliseconds; with two writes each, a fraction of the writes that the store accepts.
     */
    private static final int REGISTRATION_SPREAD_MS = 10;

    private static final long INSTANCE_READ_INTERVAL_MS = 5_000;

    /**
     * The interval at which an instance that is not a relay reads the registered instances while
     * all of them are members, in milliseconds.
     */
    private static final long IDLE_INSTANCE_READ_INTERVAL_MS = 30_000;

    /**
     * The delay after a failed call, in milliseconds; the platform charges for calls, also refused
     * ones.
     */
    private static final long RETRY_DELAY_MS = 500;

    /** One relay suffices, as an instance that its relay does not update reads the store itself. */
    private static final int RELAYS_PER_FAILURE_DOMAIN = 1;

    /**
     * A request that runs beside a crashing request on the same endpoint may see two crashes by
     * chance.
     */
    private static final int MAX_CRASHES_PER_REQUEST = 3;

    /** Missing heartbeats are noticed before an instance without contact stops trusting keys. */
    private static final MembershipSettings MEMBERSHIP_SETTINGS =
            new MembershipSettings(500, 1_500, 3_500, 2_000, 60_000, 3);

    /** Loans expire before the share of a failed lender is given to another holder. */
    private static final TokenSettings TOKEN_SETTINGS = new TokenSettings(1, 20, 4_000, 600, 3_000);

    private final Vertx mVertx;
    private final Context mContext;
    private final GatewaySettings mSettings;
    private final StateSource mSource;
    private final StateFreshness mStateFreshness;
    private final StateFollower mFollower;
    private final CrashReportRegistry mCrashReports;
    private final BlockedPartStore mBlockedParts;
    private final SecureRandom mRandom = new SecureRandom();
    private final MessageHandlers mHandlers = new MessageHandlers();
    private final List<Runnable> mListeners = new CopyOnWriteArrayList<>();
    private final CompletableFuture<Void> mReady = new CompletableFuture<>();
    private Membership mMembership;
    private RelaySelection mRelaySelection;
    private PeerNetwork mNetwork;
    private ControlConnections mConnections;
    private CrashRecordSharing mCrashRecords;
    private InstanceShares mShares;
    private GatewayTokenReservationService mTokenReservations;
    private List<Member> mRegisteredInstances;
    private StoreEra mEra = StoreEra.UNREPORTED;
    private long mNextRegistrationMs;
    private long mNextInstanceReadMs;
    private long mPublishedVersion = -1;
    private volatile GatewaySnapshot mSnapshot;
    private volatile BoundSettings mBounds;

    /** Creates the control state; the context must not be shared with other work. */
    public GatewayControl(
            Vertx vertx, Context context, GatewaySettings settings, StateSource source) {
        mVertx = vertx;
        mContext = context;
        mSettings = settings;
        mSource = source;
        mBounds = settings.bounds();
        mStateFreshness = new StateFreshness(keyTrustMs(mBounds), MAX_CLOCK_GAP_MS);
        mFollower =
                new StateFollower(
                        context, source, mBounds, mStateFreshness, new FollowerListener());
        mCrashReports =
                CrashReportRegistry.withMaxCrashes(
                        MAX_CRASHES_PER_REQUEST, context, Clocks::steadyMs, this::flood);
        mBlockedParts = new BlockedPartStore(context, source);
        registerHandlers();
    }

    private static long keyTrustMs(BoundSettings bounds) {
        return bounds.keyWithdrawalMs() - STATE_CHANGE_MARGIN_MS;
    }

    /** Returns the time limits and retry budgets in force; may be called from any thread. */
    public BoundSettings bounds() {
        return mBounds;
    }

    /**
     * Applies the time limits, retry budgets and seeds of changed settings; may be called from any
     * thread.
     */
    public void reload(GatewaySettings settings) {
        mContext.runOnContext(
                ignored -> {
                    mBounds = settings.bounds();
                    mStateFreshness.setMaxAgeMs(keyTrustMs(mBounds));
                    mMembership.addSeeds(settings.seeds());
                });
    }

    /** Listens for peers and joins the other instances; must run on the control context. */
    public CompletableFuture<Void> start() {
        Member self = createSelf();
        mMembership = new Membership(self, MEMBERSHIP_SETTINGS, mRandom);
        mRelaySelection = new RelaySelection(mMembership, RELAYS_PER_FAILURE_DOMAIN);
        mShares = new InstanceShares(self.id(), TOKEN_SETTINGS);
        mTokenReservations =
                new GatewayTokenReservationService(mContext, mMembership, mShares, this::sendTo);
        mNetwork =
                new PeerNetwork(
                        mVertx,
                        mContext,
                        PeerSecurity.plainText(),
                        () -> mMembership.self(),
                        mHandlers::receive,
                        violation ->
                                LOG.warn("A peer was rejected.", LogField.of("why", violation)));
        mConnections = new ControlConnections(mMembership, mNetwork, TICK_MS);
        mCrashRecords =
                new CrashRecordSharing(
                        mContext, mSource, mCrashReports.requests(), mMembership, mNetwork);
        publish();
        return mNetwork.listen(mSettings.peerAddress().host(), mSettings.peerAddress().port())
                .thenAccept(port -> mContext.runOnContext(ignored -> joinAndStartTimer()));
    }

    private void joinAndStartTimer() {
        mMembership.addSeeds(mSettings.seeds());
        send(mMembership.join(0));
        mVertx.setPeriodic(TICK_MS, timer -> tick());
        tick();
    }

    private Member createSelf() {
        return new Member(
                mSettings.id(),
                System.currentTimeMillis(),
                mSettings.region(),
                mSettings.failureDomain(),
                mSettings.peerAddress().host(),
                mSettings.peerAddress().port(),
                mSettings.forwardPort(),
                mSettings.callerAddress().port(),
                MemberState.LIVE,
                mSettings.strength());
    }

    private void tick() {
        ClockReading now = Clocks.now();
        long nowMs = now.steadyMs();
        mConnections.replaceSilent(mFollower.revision(), nowMs);
        send(mMembership.tick(mFollower.revision(), nowMs));
        mConnections.logChanges();
        mFollower.tick(now);
        checkEra(nowMs);
        mTokenReservations.tick(nowMs);
        registerAndReadInstances(nowMs);
        mBlockedParts.tick(nowMs);
        mCrashRecords.tick(nowMs);
        if (mMembership.version() != mPublishedVersion) {
            mPublishedVersion = mMembership.version();
            mConnections.dropThoseToSuspects();
            updateShares(nowMs);
            publish();
        }
        boolean isRead =
                mRegisteredInstances != null
                        && mBlockedParts.stored().isDone()
                        && mCrashRecords.isInformed();
        if (mFollower.isReady() && isRead && !mReady.isDone()) {
            LOG.info("The instance is ready.", LogField.of("instance", mSettings.id()));
            mReady.complete(null);
        }
    }

    /**
     * Registers again and reads the instances when the store has returned from a copy, as it may
     * have lost both. The instances do so one after the other, as all of them notice it at once.
     */
    private void checkEra(long nowMs) {
        StoreEra era = mSource.era();
        if (!era.isAfter(mEra)) {
            return;
        }
        boolean isFirst = mEra.equals(StoreEra.UNREPORTED);
        mEra = era;
        if (!isFirst) {
            int spreadMs = REGISTRATION_SPREAD_MS * mMembership.members().size();
            mNextRegistrationMs = nowMs + mRandom.nextInt(spreadMs);
            mNextInstanceReadMs =
                    Math.min(mNextInstanceReadMs, mNextRegistrationMs + REGISTRATION_INTERVAL_MS);
        }
    }

    private void registerAndReadInstances(long nowMs) {
        if (nowMs >= mNextRegistrationMs && mMembership.self().state() == MemberState.LIVE) {
            mNextRegistrationMs = nowMs + REGISTRATION_INTERVAL_MS;
            mSource.register(mMembership.self())
                    .subscribe()
                    .with(done -> {}, failure -> runOnContext(this::scheduleRegistrationRetry));
        }
        if (nowMs >= mNextInstanceReadMs) {
            mNextInstanceReadMs = nowMs + INSTANCE_READ_INTERVAL_MS;
            mSource.readInstances()
                    .subscribe()
                    .with(
                            found -> runOnContext(() -> handleInstances(found)),
                            failure -> runOnContext(this::scheduleInstanceReadRetry));
        }
    }

    private void runOnContext(Runnable action) {
        mContext.runOnContext(ignored -> action.run());
    }

    private void scheduleRegistrationRetry() {
        mNextRegistrationMs = Math.min(mNextRegistrationMs, Clocks.steadyMs() + RETRY_DELAY_MS);
    }

    private void scheduleInstanceReadRetry() {
        mNextInstanceReadMs = Math.min(mNextInstanceReadMs, Clocks.steadyMs() + RETRY_DELAY_MS);
    }

    private void handleInstances(List<Member> found) {
        mRegisteredInstances = found;
        mMembership.addSeeds(found.stream().map(PeerAddress::of).toList());
        boolean noOtherMember = mMembership.members().size() == 1;
        if (noOtherMember && found.size() > 1) {
            send(mMembership.join(mFollower.revision()));
        }
        boolean allAreMembers = !noOtherMember && found.stream().allMatch(this::isMember);
        if (allAreMembers && !mRelaySelection.isRelay()) {
            mNextInstanceReadMs = Clocks.steadyMs() + IDLE_INSTANCE_READ_INTERVAL_MS;
        }
        updateShares(Clocks.steadyMs());
        publish();
    }

    private boolean isMember(Member registered) {
        return mMembership.member(registered.id()).isPresent();
    }

    /**
     * Divides the contracts among the instances.
     *
     * <p>Registered instances that are not members yet count as well, so that a new instance never
     * assumes that it is the only one.
     */
    private void updateShares(long nowMs) {
        if (mRegisteredInstances != null) {
            mTokenReservations.apply(mShares.setMembers(membersAndRegistered(), nowMs));
        }
    }

    /** Returns the members, and the registered instances that are not members yet. */
    private List<Member> membersAndRegistered() {
        List<Member> instances = new ArrayList<>(mMembership.members());
        if (mRegisteredInstances != null) {
            mRegisteredInstances.stream()
                    .filter(member -> !isMember(member))
                    .forEach(instances::add);
        }
        return instances;
    }

    private void publish() {
        mSnapshot =
                new GatewaySnapshot(
                        mFollower.configuration(),
                        mFollower.endpoints(),
                        mMembership.self(),
                        membersAndRegistered());
        mListeners.forEach(Runnable::run);
    }

    private void flood(PeerMessage message, InstanceId from) {
        mNetwork.send(mMembership.floodTargets(from, Clocks.steadyMs()), message);
    }

    private void send(List<OutboundMessage> sends) {
        mNetwork.sendAll(sends);
    }

    private void sendTo(InstanceId to, PeerMessage message) {
        mMembership.member(to).ifPresent(member -> mNetwork.send(PeerAddress.of(member), message));
    }

    private void registerHandlers() {
        mHandlers.register(
                PeerMessage.Heartbeat.class,
                (connection, message) ->
                        mNetwork.answer(
                                connection,
                                mMembership.handle(
                                        message, mFollower.revision(), Clocks.steadyMs())));
        mHandlers.registerHandler(
                PeerMessage.HeartbeatAck.class,
                (from, message) -> send(mMembership.handle(message, Clocks.steadyMs())));
        mHandlers.registerHandler(
                PeerMessage.MemberUpdates.class,
                (from, message) -> send(mMembership.handle(message, from, Clocks.steadyMs())));
        mHandlers.registerReply(
                PeerMessage.MembersRequest.class,
                message -> new PeerMessage.MemberUpdates(mMembership.members()));
        mHandlers.registerReply(PeerMessage.OperatorStateRequest.class, mFollower::answer);
        mHandlers.registerHandler(
                PeerMessage.OperatorStateReply.class, (from, message) -> mFollower.handle(message));
        mHandlers.registerHandler(
                PeerMessage.ReserveRequest.class,
                (from, message) -> mTokenReservations.handle(from, message));
        mHandlers.registerHandler(
                PeerMessage.ReserveReply.class,
                (from, message) -> mTokenReservations.handle(from, message));
        mHandlers.registerHandler(
                PeerMessage.ReservationSettlement.class,
                (from, message) -> mTokenReservations.handle(message));
        mHandlers.registerHandler(
                PeerMessage.LoanRequest.class,
                (from, message) -> mTokenReservations.handle(from, message));
        mHandlers.registerHandler(
                PeerMessage.LoanGrant.class, (from, message) -> mTokenReservations.handle(message));
        mHandlers.registerHandler(
                PeerMessage.CrashReport.class,
                (from, message) -> mCrashReports.handle(message, from));
        mHandlers.register(
                PeerMessage.CrashRecords.class,
                (connection, message) -> mCrashRecords.handle(connection, message));
    }

    /**
     * Completes when the configuration, the endpoints, the instances, the blocked prompt parts and
     * the records of crashes have been read.
     */
    public CompletableFuture<Void> ready() {
        return mReady;
    }

    /** Returns the latest published snapshot; may be called from any thread. */
    public GatewaySnapshot snapshot() {
        return mSnapshot;
    }

    /**
     * Returns as of when the endpoints of the latest snapshot are complete, as a reading of the
     * steady clock in milliseconds; may be called from any thread.
     */
    public long endpointsAsOfMs() {
        return mFollower.endpointsAsOfMs();
    }

    /** Runs the listener on the control thread after each published snapshot. */
    public void addSnapshotListener(Runnable listener) {
        mListeners.add(listener);
    }

    /**
     * Returns the freshness of the state, which decides whether keys may be trusted; may be used
     * from any thread.
     */
    public StateFreshness stateFreshness() {
        return mStateFreshness;
    }

    /**
     * Returns whether the state was confirmed so recently that a request may be sent to the regions
     * that it allows; may be called from any thread.
     */
    public boolean mayTrustRegions() {
        long maxAgeMs = mBounds.configurationMs() - STATE_CHANGE_MARGIN_MS;
        return mStateFreshness.ageMs(Clocks.now()) < maxAgeMs;
    }

    /**
     * Returns whether the state was confirmed so recently that API keys may be trusted; may be
     * called from any thread.
     */
    public boolean mayTrustKeys() {
        return mStateFreshness.isFresh(Clocks.now());
    }

    /** Completes after the next confirmation of the state; may be called from any thread. */
    public CompletableFuture<Void> awaitNextConfirmation() {
        CompletableFuture<Void> confirmed = new CompletableFuture<>();
        mContext.runOnContext(
                ignored -> mFollower.onNextConfirmation(() -> confirmed.complete(null)));
        return confirmed;
    }

    /** Returns the service with which the traffic thread reserves tokens. */
    public GatewayTokenReservationService tokenReservations() {
        return mTokenReservations;
    }

    /** Registers the newest era of the store and the decisions about received states. */
    public void registerMetrics(BiConsumer<String, Supplier<Long>> registry) {
        registry.accept("store_era", () -> mSource.era().number());
        registry.accept("states_passed_over", mFollower.decisions()::passedOver);
        registry.accept("configuration_version", mFollower::version);
        registry.accept("states_unconfirmed", mFollower.decisions()::unconfirmed);
    }

    /** Returns the counters of the control messages between instances. */
    public PeerCounters peerCounters() {
        return mNetwork.counters();
    }

    /** Returns the record of requests that crashed endpoints. */
    public CrashReportRegistry crashReports() {
        return mCrashReports;
    }

    /** Returns the prompt parts that are blocked, as they are kept in the store. */
    public BlockedPartStore blockedParts() {
        return mBlockedParts;
    }

    /** Announces to the other instances that this instance accepts no new work. */
    public CompletableFuture<Void> announceLeaving() {
        CompletableFuture<Void> announced = new CompletableFuture<>();
        mContext.runOnContext(
                ignored -> {
                    send(mMembership.setOwnState(MemberState.LEAVING, Clocks.steadyMs()));
                    publish();
                    announced.complete(null);
                });
        return announced;
    }

    /**
     * Announces to the other instances that this instance has stopped, and closes its connections.
     */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        mContext.runOnContext(
                ignored -> {
                    send(mMembership.setOwnState(MemberState.DEAD, Clocks.steadyMs()));
                    mSource.unregister().subscribe().with(done -> {}, failure -> {});
                    mVertx.setTimer(
                            TICK_MS,
                            timer -> mNetwork.close().thenRun(() -> stopped.complete(null)));
                });
        return stopped;
    }

    /** Returns the control state for the state dump; the future completes on the control thread. */
    public CompletableFuture<GatewayControlState> collectState() {
        CompletableFuture<GatewayControlState> result = new CompletableFuture<>();
        mContext.runOnContext(
                ignored ->
                        result.complete(
                                new GatewayControlState(
                                        mMembership.members(),
                                        mFollower.revision(),
                                        mStateFreshness.ageMs(Clocks.now()),
                                        mFollower.endpoints(),
                                        mShares.levels(Clocks.steadyMs()),
                                        mSource.calls(),
                                        mSource.era())));
        return result;
    }

    private static Map<AccountId, Contract> contracts(GatewayConfiguration configuration) {
        return configuration.accounts().stream()
                .filter(account -> account.contract().isPresent())
                .collect(Collectors.toMap(AccountRule::id, account -> account.contract().get()));
    }

    /** Publishes changes that the state follower reports, and sends its requests to peers. */
    private final class FollowerListener implements StateFollower.Listener {

        @Override
        public void configurationChanged(GatewayConfiguration configuration) {
            mTokenReservations.apply(
                    mShares.setContracts(contracts(configuration), Clocks.steadyMs()));
            publish();
        }

        @Override
        public void endpointsChanged() {
            publish();
        }

        @Override
        public boolean isRelay() {
            return mRelaySelection.isRelay() || mRelaySelection.otherRelay().isEmpty();
        }

        @Override
        public void sendToRelay(PeerMessage.OperatorStateRequest request) {
            mRelaySelection
                    .otherRelay()
                    .ifPresent(relay -> mNetwork.send(PeerAddress.of(relay), request));
        }

        @Override
        public boolean mayHavePeers() {
            boolean isAloneInStore =
                    mRegisteredInstances != null
                            && mRegisteredInstances.stream().allMatch(this::isSelf);
            return !isAloneInStore
                    || !mSettings.seeds().isEmpty()
                    || mMembership.members().size() > 1;
        }

        private boolean isSelf(Member member) {
            return member.id().equals(mSettings.id());
        }

        @Override
        public int sendToPeers(PeerMessage.OperatorStateRequest request, int maxPeers) {
            List<Member> candidates =
                    new ArrayList<>(
                            mMembership.members().stream()
                                    .filter(Member::acceptsNewRequests)
                                    .filter(member -> !isSelf(member))
                                    .toList());
            int sent = 0;
            for (; sent < maxPeers && !candidates.isEmpty(); sent++) {
                Member chosen = candidates.remove(mRandom.nextInt(candidates.size()));
                mNetwork.send(PeerAddress.of(chosen), request);
            }
            return sent;
        }
    }
}
