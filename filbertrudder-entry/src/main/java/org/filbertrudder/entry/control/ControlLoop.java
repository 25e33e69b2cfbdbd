package org.filbertrudder.entry.control;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.filbertrudder.entry.EntrySettings;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.Account;
import org.filbertrudder.model.Change;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ShardOwner;
import org.filbertrudder.peer.PeerConnection;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.policy.membership.Membership;
import org.filbertrudder.policy.membership.MembershipSettings;
import org.filbertrudder.policy.membership.OutboundMessage;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.policy.membership.RelaySelection;
import org.filbertrudder.policy.shards.IsolationRule;
import org.filbertrudder.policy.shards.OwnerTerminationRule;
import org.filbertrudder.policy.shards.ShardDirectory;
import org.filbertrudder.policy.shards.ShardPlanner;
import org.filbertrudder.policy.tokens.TokenHolder;
import org.filbertrudder.policy.tokens.TokenSettings;
import org.filbertrudder.store.PlatformDirectory;
import org.filbertrudder.store.WatchableStore;

/**
 * Owns the control state of an instance (members, configuration, token shares and orders) and
 * processes its timers and messages on one thread.
 */
public final class ControlLoop {

    private static final ComponentLogger LOG = ComponentLogger.of("control");
    private static final long TICK_INTERVAL_MS = 50;
    private static final long SLOW_TICK_INTERVAL_MS = 1_000;

    private final Vertx mVertx;
    private final Context mContext;
    private final EntrySettings mSettings;
    private final WatchableStore mStore;
    private final PlatformDirectory mPlatform;
    private final LongSupplier mClockMs;
    private final Map<Class<?>, BiConsumer<PeerConnection, PeerMessage>> mMessageHandlers =
            new HashMap<>();
    private final List<Runnable> mSnapshotListeners = new CopyOnWriteArrayList<>();
    private final Map<InstanceId, Long> mMemberRevisions = new HashMap<>();
    private final ShardDirectory mShardDirectory = new ShardDirectory();
    private final CrashReportRegistry mCrashReports;
    private final CallerDirectoryPublisher mCallerDirectory;
    private Membership mMembership;
    private RelaySelection mRelaySelection;
    private PeerNetwork mPeerNetwork;
    private ConfigurationSync mConfigurationSync;
    private ChangeService mChangeService;
    private TokenHolder mTokenHolder;
    private TokenReservationService mTokenReservations;
    private ShardOwnershipManager mShardOwnership;
    private OrderCoordinator mOrderCoordinator;
    private LiveListPoller mLiveListPoller;
    private long mStartedMs;
    private SilentConnections mSilentConnections;
    private long mNextSlowTickMs;
    private long mPublishedMembershipVersion = -1;
    private final CompletableFuture<Void> mReady = new CompletableFuture<>();
    private volatile ControlSnapshot mSnapshot;

    /** Creates the control loop; it runs on the given context. */
    public ControlLoop(
            Vertx vertx,
            Context context,
            EntrySettings settings,
            WatchableStore store,
            PlatformDirectory platform,
            LongSupplier clockMs) {
        mVertx = vertx;
        mContext = context;
        mSettings = settings;
        mStore = store;
        mPlatform = platform;
        mClockMs = clockMs;
        mCrashReports = new CrashReportRegistry(context, clockMs, this::flood);
        mCallerDirectory = new CallerDirectoryPublisher(platform, settings.callerTls() != null);
        registerHandlers();
    }

    /** Starts to listen for control messages of other instances; returns the TCP port. */
    public CompletableFuture<Integer> listen() {
        mPeerNetwork =
                new PeerNetwork(
                        mVertx,
                        mContext,
                        mSettings.peerSecurity(),
                        () -> mMembership.self(),
                        this::receive,
                        violation ->
                                LOG.warn("A peer was rejected.", LogField.of("why", violation)));
        return mPeerNetwork.listen(mSettings.host(), mSettings.peerPort());
    }

    /** Joins the fleet as the given member; must be called on the control context. */
    public void start(Member self) {
        long nowMs = mClockMs.getAsLong();
        mStartedMs = nowMs;
        mMembership = new Membership(self, MembershipSettings.DEFAULT, new SecureRandom());
        mMembership.addSeeds(mSettings.seeds());
        mRelaySelection = new RelaySelection(mMembership);
        ConfigurationStore configurationStore = new ConfigurationStore(mStore);
        mConfigurationSync =
                new ConfigurationSync(mContext, configurationStore, this::handleAdoptedRevision);
        mChangeService =
                new ChangeService(
                        mContext,
                        configurationStore,
                        mConfigurationSync,
                        System::currentTimeMillis);
        mTokenHolder = new TokenHolder(self.region(), TokenSettings.DEFAULT, nowMs);
        mTokenReservations =
                new TokenReservationService(
                        mContext,
                        TokenSettings.DEFAULT,
                        mTokenHolder,
                        mShardDirectory,
                        mMembership,
                        mConfigurationSync,
                        mPeerNetwork,
                        mClockMs);
        mShardOwnership =
                new ShardOwnershipManager(
                        mContext,
                        mStore,
                        mMembership,
                        mShardDirectory,
                        mTokenHolder,
                        mTokenReservations,
                        new ShardPlanner(TokenSettings.DEFAULT.shards()),
                        mClockMs,
                        new FloodingMessageSender());
        mOrderCoordinator = new OrderCoordinator(mVertx, mContext, mStore, mMembership, mClockMs);
        mLiveListPoller =
                new LiveListPoller(
                        mContext, self.id(), mPlatform, mClockMs, this::handleLiveListChange);
        publishSnapshot();
        send(mMembership.join(0));
        mSilentConnections = new SilentConnections(mPeerNetwork, TICK_INTERVAL_MS, nowMs());
        mVertx.setPeriodic(TICK_INTERVAL_MS, timer -> tick());
    }

    private void tick() {
        long nowMs = mClockMs.getAsLong();
        mMembership.setSharedDigest(mShardDirectory.digest());
        mSilentConnections.replace(
                () -> mMembership.heartbeat(mConfigurationSync.current().revision()), nowMs);
        send(mMembership.tick(mConfigurationSync.current().revision(), nowMs));
        mLiveListPoller.tick(mMembership.members().size(), nowMs);
        mConfigurationSync.tick(mRelaySelection.isRelay(), nowMs);
        mTokenReservations.apply(mTokenHolder.setIsolated(isIsolated(nowMs)));
        mTokenReservations.apply(mTokenHolder.tick(nowMs));
        mTokenReservations.tick(nowMs);
        if (nowMs >= mNextSlowTickMs) {
            mNextSlowTickMs = nowMs + SLOW_TICK_INTERVAL_MS;
            slowTick(nowMs);
        }
        if (mConfigurationSync.isReady()) {
            mReady.complete(null);
        }
        if (mMembership.version() != mPublishedMembershipVersion) {
            mPublishedMembershipVersion = mMembership.version();
            publishSnapshot();
        }
    }

    private void slowTick(long nowMs) {
        if (mMembership.self().state() == MemberState.LEAVING) {
            return;
        }
        mShardOwnership.tick(owner -> hasTerminated(owner, nowMs));
        mOrderCoordinator.tick(mConfigurationSync.current());
        mMemberRevisions.keySet().removeIf(memberId -> mMembership.member(memberId).isEmpty());
        mCallerDirectory.tick(mMembership.self(), nowMs);
    }

    private boolean isIsolated(long nowMs) {
        return IsolationRule.isIsolated(
                mMembership.hasPeersInRegion(),
                mMembership.lastAnswerMs().orElse(mStartedMs),
                mLiveListPoller.lastListedMs().orElse(mStartedMs),
                nowMs);
    }

    private boolean hasTerminated(ShardOwner owner, long nowMs) {
        return OwnerTerminationRule.hasTerminated(
                mMembership.member(owner.owner()).map(Member::state),
                nowMs - mMembership.stateSinceMs(owner.owner()).orElse(nowMs),
                nowMs - mStartedMs,
                mLiveListPoller.isMissing(owner.owner(), nowMs));
    }

    private void handleLiveListChange() {
        mMembership.addSeeds(mLiveListPoller.peerAddresses());
        if (mMembership.members().size() == 1) {
            send(mMembership.join(mConfigurationSync.current().revision()));
        }
        publishSnapshot();
    }

    private void handleAdoptedRevision(Change change, InstanceId from) {
        mTokenHolder.setConfiguration(mConfigurationSync.current(), mClockMs.getAsLong());
        publishSnapshot();
        if (change != null) {
            flood(new PeerMessage.ChangePush(List.of(change)), from);
        }
    }

    private void publishSnapshot() {
        mSnapshot =
                new ControlSnapshot(
                        mConfigurationSync.current(),
                        mMembership.self(),
                        mMembership.members(),
                        mLiveListPoller.leavingEndpoints(),
                        shardHoldersInRegion());
        mSnapshotListeners.forEach(Runnable::run);
    }

    /** Returns the token holder of each shard of this region, so that callers can be sent to it. */
    private Map<Integer, InstanceId> shardHoldersInRegion() {
        Map<Integer, InstanceId> holders = new HashMap<>();
        mShardDirectory.ownersIn(mMembership.self().region()).stream()
                .filter(owner -> !owner.released())
                .forEach(owner -> holders.put(owner.shard(), owner.owner()));
        return Map.copyOf(holders);
    }

    private void flood(PeerMessage message, InstanceId from) {
        mPeerNetwork.send(mMembership.floodTargets(from, mClockMs.getAsLong()), message);
    }

    private void send(List<OutboundMessage> messages) {
        mPeerNetwork.sendAll(messages);
    }

    private void receive(PeerConnection connection, PeerMessage message) {
        if (mMembership == null || connection.peerMember() == null) {
            return;
        }
        BiConsumer<PeerConnection, PeerMessage> handler = mMessageHandlers.get(message.getClass());
        if (handler != null) {
            handler.accept(connection, message);
        }
    }

    private <T extends PeerMessage> void registerHandler(
            Class<T> type, BiConsumer<PeerConnection, T> handler) {
        mMessageHandlers.put(
                type, (connection, message) -> handler.accept(connection, type.cast(message)));
    }

    private void registerHandlers() {
        registerHandler(PeerMessage.Heartbeat.class, this::handle);
        registerHandler(PeerMessage.HeartbeatAck.class, (from, message) -> handle(message));
        registerHandler(
                PeerMessage.MemberUpdates.class,
                (from, message) -> send(mMembership.handle(message, peerId(from), nowMs())));
        registerHandler(
                PeerMessage.MembersRequest.class, (from, message) -> sendMembersAndOwners(from));
        registerHandler(PeerMessage.ChangePush.class, this::handleChanges);
        registerHandler(
                PeerMessage.ChangesRequest.class,
                (from, message) -> reply(from, mConfigurationSync.createResponse(message)));
        registerHandler(
                PeerMessage.SnapshotPush.class,
                (from, message) -> mConfigurationSync.handle(message, peerId(from)));
        registerHandler(PeerMessage.ShardUpdates.class, this::handleOwners);
        registerHandler(
                PeerMessage.ShardHandover.class,
                (from, message) -> mShardOwnership.handle(message));
        registerHandler(
                PeerMessage.ReserveRequest.class,
                (from, message) -> mTokenReservations.handle(peerId(from), message));
        registerHandler(
                PeerMessage.ReserveReply.class,
                (from, message) -> mTokenReservations.handle(peerId(from), message));
        registerHandler(
                PeerMessage.ReservationSettlement.class,
                (from, message) ->
                        mTokenReservations.apply(
                                mTokenHolder.settle(
                                        message.account(),
                                        message.reservation(),
                                        message.unusedTokens(),
                                        nowMs())));
        registerHandler(
                PeerMessage.LoanRequest.class,
                (from, message) -> reply(from, mTokenHolder.lend(message, nowMs())));
        registerHandler(
                PeerMessage.LoanGrant.class,
                (from, message) ->
                        mTokenReservations.apply(mTokenHolder.addGrantedLoan(message, nowMs())));
        registerHandler(
                PeerMessage.CrashReport.class,
                (from, message) -> mCrashReports.handle(message, peerId(from)));
    }

    /** Merges new ownership records; a released shard is claimed at the next tick. */
    private void handleOwners(PeerConnection from, PeerMessage.ShardUpdates updates) {
        if (mShardOwnership.handle(
                updates, newRecords -> forwardOwners(newRecords, peerId(from)))) {
            mNextSlowTickMs = 0;
        }
    }

    private void forwardOwners(PeerMessage.ShardUpdates newRecords, InstanceId from) {
        flood(newRecords, from);
        publishSnapshot();
    }

    private void handle(PeerConnection from, PeerMessage.Heartbeat heartbeat) {
        recordRevision(heartbeat.sender(), heartbeat.revision());
        mPeerNetwork.answer(
                from,
                mMembership.handle(heartbeat, mConfigurationSync.current().revision(), nowMs()));
    }

    private void handle(PeerMessage.HeartbeatAck ack) {
        recordRevision(ack.sender(), ack.revision());
        send(mMembership.handle(ack, nowMs()));
    }

    /**
     * Records the revision of a member and requests the changes if it is newer than the one in
     * force here.
     */
    private void recordRevision(Member sender, long revision) {
        mMemberRevisions.put(sender.id(), revision);
        if (revision > mConfigurationSync.current().revision()) {
            mPeerNetwork.send(
                    PeerAddress.of(sender), mConfigurationSync.createChangesRequest(sender.id()));
        }
    }

    private void handleChanges(PeerConnection from, PeerMessage.ChangePush push) {
        if (mConfigurationSync.handle(push, peerId(from))) {
            reply(from, mConfigurationSync.createChangesRequest(peerId(from)));
        }
    }

    private void sendMembersAndOwners(PeerConnection from) {
        reply(from, new PeerMessage.MemberUpdates(mMembership.members()));
        reply(from, new PeerMessage.ShardUpdates(mShardDirectory.all()));
    }

    /** Replies on the connection of the request, which shows that the connection works. */
    private static void reply(PeerConnection to, PeerMessage message) {
        to.send(message);
    }

    private static InstanceId peerId(PeerConnection connection) {
        return connection.peerMember().id();
    }

    private long nowMs() {
        return mClockMs.getAsLong();
    }

    /**
     * Announces that this instance accepts no new work, and hands its shards over.
     *
     * @return a future that completes when all shards are handed over
     */
    public CompletableFuture<Void> leave() {
        CompletableFuture<Void> handedOver = new CompletableFuture<>();
        mContext.runOnContext(
                ignored -> {
                    send(mMembership.setOwnState(MemberState.LEAVING, nowMs()));
                    publishSnapshot();
                    mCallerDirectory.withdraw(mMembership.self());
                    mOrderCoordinator.releaseAll();
                    mVertx.setPeriodic(
                            TICK_INTERVAL_MS,
                            timer -> {
                                if (mShardOwnership.releaseAll()) {
                                    mVertx.cancelTimer(timer);
                                    handedOver.complete(null);
                                }
                            });
                });
        return handedOver;
    }

    /** Announces that this instance has stopped, then closes its connections. */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        mContext.runOnContext(
                ignored -> {
                    send(mMembership.setOwnState(MemberState.DEAD, nowMs()));
                    mConfigurationSync.close();
                    mVertx.setTimer(
                            TICK_INTERVAL_MS,
                            timer -> mPeerNetwork.close().thenRun(() -> stopped.complete(null)));
                });
        return stopped;
    }

    /** Requests the revision in force from all members; the responses arrive asynchronously. */
    public void requestRevisions() {
        mContext.runOnContext(
                ignored -> {
                    PeerMessage heartbeat =
                            new PeerMessage.Heartbeat(
                                    mMembership.self(),
                                    mConfigurationSync.current().revision(),
                                    mMembership.digest());
                    mMembership.members().stream()
                            .filter(member -> !member.id().equals(mMembership.self().id()))
                            .filter(member -> member.state() != MemberState.DEAD)
                            .forEach(
                                    member -> mPeerNetwork.send(PeerAddress.of(member), heartbeat));
                });
    }

    /**
     * Returns a future that completes when the configuration is loaded and callers can be served.
     */
    public CompletableFuture<Void> ready() {
        return mReady;
    }

    /** Returns the newest published snapshot; may be called from any thread. */
    public ControlSnapshot snapshot() {
        return mSnapshot;
    }

    /** Registers a listener that runs on the control thread after each published snapshot. */
    public void addSnapshotListener(Runnable listener) {
        mSnapshotListeners.add(listener);
    }

    /** Returns the registry of requests that were running when an endpoint crashed. */
    public CrashReportRegistry crashReports() {
        return mCrashReports;
    }

    /** Returns the service with which traffic threads reserve tokens. */
    public TokenReservationService tokenReservations() {
        return mTokenReservations;
    }

    /** Returns the service that commits operators' changes; for the control thread only. */
    public ChangeService changes() {
        return mChangeService;
    }

    /** Returns the context of the control thread. */
    public Context context() {
        return mContext;
    }

    /** Returns the connections to other instances; for the control thread only. */
    public PeerNetwork network() {
        return mPeerNetwork;
    }

    /** Returns the control state for the state dump; for the control thread only. */
    public ControlState state() {
        List<ControlState.MemberRevision> revisions = new ArrayList<>();
        for (Member member : mMembership.members()) {
            boolean isSelf = member.id().equals(mMembership.self().id());
            long revision =
                    isSelf
                            ? mConfigurationSync.current().revision()
                            : mMemberRevisions.getOrDefault(member.id(), 0L);
            revisions.add(new ControlState.MemberRevision(member.id(), member.state(), revision));
        }
        return new ControlState(
                mMembership.self(),
                mMembership.members(),
                mConfigurationSync.current().revision(),
                mConfigurationSync.current().digest(),
                mConfigurationSync.changeLog().forkedOffers(),
                revisions,
                mShardDirectory.all(),
                mTokenHolder.isSuspended(),
                mTokenHolder.accountStates(nowMs()),
                mConfigurationSync.current().all(Account.class).size(),
                mCrashReports.size(),
                mOrderCoordinator.state(),
                mStore.callCounts(),
                new ControlState.PeerTraffic(
                        mPeerNetwork.counters().messagesSent(),
                        mPeerNetwork.counters().bytesSent(),
                        mPeerNetwork.counters().messagesReceived(),
                        mPeerNetwork.counters().bytesReceived(),
                        mPeerNetwork.counters().rejectedConnections()));
    }

    /** Returns the recent changes, oldest first; for the control thread only. */
    public List<Change> recentChanges() {
        return mConfigurationSync.changeLog().recentChanges();
    }

    /** Sends shard messages to all members by flooding, or to one member. */
    private final class FloodingMessageSender implements ShardOwnershipManager.MessageSender {

        @Override
        public void broadcast(PeerMessage message) {
            flood(message, null);
            publishSnapshot();
        }

        @Override
        public void send(Member to, PeerMessage message) {
            mPeerNetwork.send(PeerAddress.of(to), message);
        }
    }
}
