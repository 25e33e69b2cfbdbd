package org.filbertrudder.gateway.control;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import org.filbertrudder.entry.control.CrashMemory;
import org.filbertrudder.entry.log.Field;
import org.filbertrudder.entry.log.PartLog;
import org.filbertrudder.gateway.BoundSettings;
import org.filbertrudder.gateway.GatewaySettings;
import org.filbertrudder.gateway.config.AccountRule;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Contract;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerConnection;
import org.filbertrudder.peer.PeerCounters;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.peer.PeerSecurity;
import org.filbertrudder.policy.freshness.FreshnessFence;
import org.filbertrudder.policy.freshness.Moment;
import org.filbertrudder.policy.membership.Membership;
import org.filbertrudder.policy.membership.MembershipSettings;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.policy.membership.PeerSend;
import org.filbertrudder.policy.membership.RelayRole;
import org.filbertrudder.policy.tokens.InstanceShares;
import org.filbertrudder.policy.tokens.TokenSettings;

/** Owns the control state of a gateway instance and runs it on one thread. */
public final class GatewayControl {

    private static final PartLog LOG = PartLog.of("control");
    private static final long TICK_MS = 100;

    /** Taken off the time in which a withdrawn key must stop working, for delays on the way. */
    private static final long FENCE_MARGIN_MS = 500;

    /** A larger difference between the clocks may hide a suspension of the process, in ms. */
    private static final long MAX_CLOCK_GAP_MS = 250;

    private static final long REGISTER_INTERVAL_MS = 2_000;
    private static final long INSTANCES_INTERVAL_MS = 5_000;

    /** How often the instances are read while all that are registered have been met, in ms. */
    private static final long QUIET_INSTANCES_INTERVAL_MS = 30_000;

    /** The pause after a failed call, in milliseconds; calls are priced, also refused ones. */
    private static final long RETRY_MS = 500;

    private static final int MAX_ASKED_PEERS = 2;

    /** One relay suffices, as whoever does not hear of it asks the store. */
    private static final int RELAYS_PER_FAILURE_DOMAIN = 1;

    /** A request that shares its endpoint with a culprit may meet two crashes by chance. */
    private static final int MAX_CRASHES = 3;

    /** Silence is noticed within the time that an instance trusts keys without contact. */
    private static final MembershipSettings MEMBERSHIP =
            new MembershipSettings(500, 1_500, 3_500, 2_000, 60_000, 3);

    /** Loans end before the share of a lost lender is given to another holder. */
    private static final TokenSettings TOKENS = new TokenSettings(1, 20, 4_000, 600, 3_000);

    private final Vertx mVertx;
    private final Context mContext;
    private final GatewaySettings mSettings;
    private final StateSource mSource;
    private final FreshnessFence mFence;
    private final StateFollower mFollower;
    private final CrashMemory mCrashes;
    private final SecureRandom mRandom = new SecureRandom();
    private final Map<Class<?>, BiConsumer<PeerConnection, PeerMessage>> mHandlers =
            new HashMap<>();
    private final List<Runnable> mListeners = new CopyOnWriteArrayList<>();
    private final CompletableFuture<Void> mReady = new CompletableFuture<>();
    private Membership mMembership;
    private RelayRole mRelayRole;
    private PeerNetwork mNetwork;
    private InstanceShares mShares;
    private AllowanceDesk mAllowances;
    private List<Member> mRegistered;
    private Set<InstanceId> mSuspected = Set.of();
    private long mNextRegisterMs;
    private long mNextInstancesMs;
    private long mPublishedVersion = -1;
    private volatile GatewaySnapshot mSnapshot;
    private volatile BoundSettings mBounds;

    /** Creates the control state on a context of its own. */
    public GatewayControl(
            Vertx vertx, Context context, GatewaySettings settings, StateSource source) {
        mVertx = vertx;
        mContext = context;
        mSettings = settings;
        mSource = source;
        mBounds = settings.bounds();
        mFence = new FreshnessFence(trustMs(mBounds), MAX_CLOCK_GAP_MS);
        mFollower = new StateFollower(context, source, mFence, new FollowerListener());
        mCrashes = CrashMemory.convictingAfter(MAX_CRASHES, context, Clocks::steadyMs, this::flood);
        registerHandlers();
    }

    private static long trustMs(BoundSettings bounds) {
        return bounds.keyWithdrawalMs() - FENCE_MARGIN_MS;
    }

    /** Returns the limits in force; may be called from any thread. */
    public BoundSettings bounds() {
        return mBounds;
    }

    /** Adopts the limits and seeds of new settings; may be called from any thread. */
    public void reload(GatewaySettings settings) {
        mContext.runOnContext(
                ignored -> {
                    mBounds = settings.bounds();
                    mFence.setLimitMs(trustMs(mBounds));
                    mMembership.addSeeds(settings.seeds());
                });
    }

    /** Joins the other instances; must run on the control context. */
    public CompletableFuture<Void> start() {
        Member self = self();
        mMembership = new Membership(self, MEMBERSHIP, mRandom);
        mRelayRole = new RelayRole(mMembership, RELAYS_PER_FAILURE_DOMAIN);
        mShares = new InstanceShares(self.id(), TOKENS);
        mAllowances = new AllowanceDesk(mContext, mMembership, mShares, this::sendTo);
        mNetwork =
                new PeerNetwork(
                        mVertx,
                        mContext,
                        PeerSecurity.plain(),
                        () -> mMembership.self(),
                        this::receive,
                        violation -> LOG.warn("A peer was rejected.", Field.of("why", violation)));
        publish();
        return mNetwork.listen(mSettings.peers().host(), mSettings.peers().port())
                .thenAccept(port -> mContext.runOnContext(ignored -> begin()));
    }

    private void begin() {
        mMembership.addSeeds(mSettings.seeds());
        send(mMembership.join(0));
        mVertx.setPeriodic(TICK_MS, timer -> tick());
        tick();
    }

    private Member self() {
        return new Member(
                mSettings.id(),
                System.currentTimeMillis(),
                mSettings.region(),
                mSettings.failureDomain(),
                mSettings.peers().host(),
                mSettings.peers().port(),
                mSettings.forwardPort(),
                mSettings.callers().port(),
                MemberState.LIVE,
                mSettings.strength());
    }

    private void tick() {
        Moment now = Clocks.now();
        long nowMs = now.steadyMs();
        send(mMembership.tick(mFollower.revision(), nowMs));
        mFollower.tick(now);
        mAllowances.tick(nowMs);
        keepRegistered(nowMs);
        if (mMembership.version() != mPublishedVersion) {
            mPublishedVersion = mMembership.version();
            dropSilentConnections();
            updateShares(nowMs);
            publish();
        }
        if (mFollower.isReady() && mRegistered != null && !mReady.isDone()) {
            LOG.info("The instance is ready.", Field.of("instance", mSettings.id()));
            mReady.complete(null);
        }
    }

    /** Connects anew to suspected members, as the connection itself may have fallen silent. */
    private void dropSilentConnections() {
        Set<InstanceId> suspected = new HashSet<>();
        for (Member member : mMembership.members()) {
            if (member.state() == MemberState.SUSPECT) {
                suspected.add(member.id());
                if (!mSuspected.contains(member.id())) {
                    mNetwork.drop(PeerAddress.of(member));
                }
            }
        }
        mSuspected = suspected;
    }

    private void keepRegistered(long nowMs) {
        if (nowMs >= mNextRegisterMs && mMembership.self().state() == MemberState.LIVE) {
            mNextRegisterMs = nowMs + REGISTER_INTERVAL_MS;
            mSource.register(mMembership.self())
                    .subscribe()
                    .with(done -> {}, failure -> execute(this::registrationFailed));
        }
        if (nowMs >= mNextInstancesMs) {
            mNextInstancesMs = nowMs + INSTANCES_INTERVAL_MS;
            mSource.readInstances()
                    .subscribe()
                    .with(
                            found -> execute(() -> instancesRead(found)),
                            failure -> execute(this::instancesFailed));
        }
    }

    private void execute(Runnable action) {
        mContext.runOnContext(ignored -> action.run());
    }

    private void registrationFailed() {
        mNextRegisterMs = Math.min(mNextRegisterMs, Clocks.steadyMs() + RETRY_MS);
    }

    private void instancesFailed() {
        mNextInstancesMs = Math.min(mNextInstancesMs, Clocks.steadyMs() + RETRY_MS);
    }

    private void instancesRead(List<Member> found) {
        mRegistered = found;
        mMembership.addSeeds(found.stream().map(PeerAddress::of).toList());
        boolean alone = mMembership.members().size() == 1;
        if (alone && found.size() > 1) {
            send(mMembership.join(mFollower.revision()));
        }
        boolean allMet = !alone && found.stream().allMatch(this::isMet);
        if (allMet && !mRelayRole.held()) {
            mNextInstancesMs = Clocks.steadyMs() + QUIET_INSTANCES_INTERVAL_MS;
        }
        updateShares(Clocks.steadyMs());
        publish();
    }

    private boolean isMet(Member registered) {
        return mMembership.member(registered.id()).isPresent();
    }

    /**
     * Divides the contracts among the members.
     *
     * <p>An instance that is registered but not known yet counts as well, so that a newcomer never
     * takes itself for the only one.
     */
    private void updateShares(long nowMs) {
        if (mRegistered != null) {
            mShares.setMembers(knownMembers(), nowMs);
        }
    }

    /** Returns the members, and the registered instances that have not been met yet. */
    private List<Member> knownMembers() {
        List<Member> known = new ArrayList<>(mMembership.members());
        if (mRegistered != null) {
            mRegistered.stream().filter(member -> !isMet(member)).forEach(known::add);
        }
        return known;
    }

    private void publish() {
        mSnapshot =
                new GatewaySnapshot(
                        mFollower.configuration(),
                        mFollower.endpoints(),
                        mMembership.self(),
                        knownMembers());
        mListeners.forEach(Runnable::run);
    }

    private void flood(PeerMessage message, InstanceId from) {
        mMembership.floodTargets(from, Clocks.steadyMs()).forEach(to -> mNetwork.send(to, message));
    }

    private void send(List<PeerSend> sends) {
        sends.forEach(each -> mNetwork.send(each.to(), each.message()));
    }

    private void sendTo(InstanceId to, PeerMessage message) {
        mMembership.member(to).ifPresent(member -> mNetwork.send(PeerAddress.of(member), message));
    }

    private void receive(PeerConnection connection, PeerMessage message) {
        BiConsumer<PeerConnection, PeerMessage> handler = mHandlers.get(message.getClass());
        if (handler != null && connection.peer() != null) {
            handler.accept(connection, message);
        }
    }

    private <T extends PeerMessage> void on(Class<T> type, BiConsumer<InstanceId, T> handler) {
        mHandlers.put(
                type,
                (connection, message) ->
                        handler.accept(connection.peer().id(), type.cast(message)));
    }

    private void registerHandlers() {
        on(
                PeerMessage.Heartbeat.class,
                (from, message) ->
                        send(mMembership.handle(message, mFollower.revision(), Clocks.steadyMs())));
        on(
                PeerMessage.HeartbeatAck.class,
                (from, message) -> send(mMembership.handle(message, Clocks.steadyMs())));
        on(
                PeerMessage.MemberUpdates.class,
                (from, message) -> send(mMembership.handle(message, from, Clocks.steadyMs())));
        on(
                PeerMessage.MembersRequest.class,
                (from, message) ->
                        sendTo(from, new PeerMessage.MemberUpdates(mMembership.members())));
        on(
                PeerMessage.StateRequest.class,
                (from, message) ->
                        mFollower.answer(message).ifPresent(reply -> sendTo(from, reply)));
        on(PeerMessage.StateReply.class, (from, message) -> mFollower.handle(message));
        on(PeerMessage.ReserveRequest.class, (from, message) -> mAllowances.handle(from, message));
        on(PeerMessage.ReserveReply.class, (from, message) -> mAllowances.handle(from, message));
        on(PeerMessage.Settle.class, (from, message) -> mAllowances.handle(message));
        on(PeerMessage.LoanRequest.class, (from, message) -> mAllowances.handle(from, message));
        on(PeerMessage.LoanGrant.class, (from, message) -> mAllowances.handle(message));
        on(PeerMessage.CrashReport.class, (from, message) -> mCrashes.handle(message, from));
    }

    /** Completes when the instance knows the configuration and the endpoints. */
    public CompletableFuture<Void> ready() {
        return mReady;
    }

    /** Returns the newest published state; may be called from any thread. */
    public GatewaySnapshot snapshot() {
        return mSnapshot;
    }

    /** Runs the listener on the control thread whenever the published state changes. */
    public void onChange(Runnable listener) {
        mListeners.add(listener);
    }

    /** Returns the fence that tells whether keys may be trusted; may be used from any thread. */
    public FreshnessFence fence() {
        return mFence;
    }

    /** Completes when the store has confirmed the state once more; from any thread. */
    public CompletableFuture<Void> nextConfirmation() {
        CompletableFuture<Void> confirmed = new CompletableFuture<>();
        mContext.runOnContext(
                ignored -> mFollower.onNextConfirmation(() -> confirmed.complete(null)));
        return confirmed;
    }

    /** Returns the desk where traffic threads reserve tokens. */
    public AllowanceDesk allowances() {
        return mAllowances;
    }

    /** Returns the counters of the control messages between instances. */
    public PeerCounters peerCounters() {
        return mNetwork.counters();
    }

    /** Returns the memory of requests that crashed endpoints. */
    public CrashMemory crashes() {
        return mCrashes;
    }

    /** Tells the others that this instance takes no new work. */
    public CompletableFuture<Void> leave() {
        CompletableFuture<Void> left = new CompletableFuture<>();
        mContext.runOnContext(
                ignored -> {
                    send(mMembership.setOwnState(MemberState.LEAVING, Clocks.steadyMs()));
                    publish();
                    left.complete(null);
                });
        return left;
    }

    /** Tells the others that this instance has stopped, and closes its connections. */
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

    /** Returns the control state for the state dump; completes on the control thread. */
    public CompletableFuture<GatewayControlState> state() {
        CompletableFuture<GatewayControlState> result = new CompletableFuture<>();
        mContext.runOnContext(
                ignored ->
                        result.complete(
                                new GatewayControlState(
                                        mMembership.members(),
                                        mFollower.revision(),
                                        mFence.ageMs(Clocks.now()),
                                        mFollower.endpoints(),
                                        mShares.levels(Clocks.steadyMs()),
                                        mSource.calls())));
        return result;
    }

    private static Map<AccountId, Contract> contracts(GatewayConfiguration configuration) {
        return configuration.accounts().stream()
                .filter(account -> account.contract().isPresent())
                .collect(Collectors.toMap(AccountRule::id, account -> account.contract().get()));
    }

    /** Acts on what the follower has learned. */
    private final class FollowerListener implements StateFollower.Listener {

        @Override
        public void configurationChanged(GatewayConfiguration configuration) {
            mShares.setContracts(contracts(configuration), Clocks.steadyMs());
            publish();
        }

        @Override
        public void endpointsChanged() {
            publish();
        }

        @Override
        public boolean isRelay() {
            return mRelayRole.held() || mRelayRole.other().isEmpty();
        }

        @Override
        public void askRelay(PeerMessage.StateRequest request) {
            mRelayRole.other().ifPresent(relay -> mNetwork.send(PeerAddress.of(relay), request));
        }

        @Override
        public void askPeers(PeerMessage.StateRequest request) {
            List<Member> others =
                    new ArrayList<>(
                            mMembership.members().stream()
                                    .filter(Member::takesWork)
                                    .filter(member -> !member.id().equals(mSettings.id()))
                                    .toList());
            for (int i = 0; i < MAX_ASKED_PEERS && !others.isEmpty(); i++) {
                Member chosen = others.remove(mRandom.nextInt(others.size()));
                mNetwork.send(PeerAddress.of(chosen), request);
            }
        }
    }
}
