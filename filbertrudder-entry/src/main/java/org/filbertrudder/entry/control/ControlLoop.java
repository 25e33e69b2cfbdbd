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
import org.filbertrudder.entry.log.Field;
import org.filbertrudder.entry.log.PartLog;
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
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.policy.membership.PeerSend;
import org.filbertrudder.policy.membership.RelayRole;
import org.filbertrudder.policy.shards.GoneRule;
import org.filbertrudder.policy.shards.IsolationRule;
import org.filbertrudder.policy.shards.ShardDirectory;
import org.filbertrudder.policy.shards.ShardPlanner;
import org.filbertrudder.policy.tokens.TokenHolder;
import org.filbertrudder.policy.tokens.TokenSettings;
import org.filbertrudder.store.PlatformDirectory;
import org.filbertrudder.store.Store;

/** Owns all control state of an instance and runs it on one thread. */
public final class ControlLoop {

    private static final PartLog LOG = PartLog.of("control");
    private static final long TICK_MS = 50;
    private static final long SLOW_TICK_MS = 1_000;

    private final Vertx mVertx;
    private final Context mContext;
    private final EntrySettings mSettings;
    private final Store mStore;
    private final PlatformDirectory mPlatform;
    private final LongSupplier mClockMs;
    private final Map<Class<?>, BiConsumer<PeerConnection, PeerMessage>> mHandlers =
            new HashMap<>();
    private final List<Runnable> mListeners = new CopyOnWriteArrayList<>();
    private final Map<InstanceId, Long> mRevisions = new HashMap<>();
    private final ShardDirectory mDirectory = new ShardDirectory();
    private final CrashMemory mCrashes;
    private final CallerDirectoryPublisher mCallerDirectory;
    private Membership mMembership;
    private RelayRole mRelayRole;
    private PeerNetwork mNetwork;
    private ConfigurationSync mSync;
    private ChangeService mChanges;
    private TokenHolder mHolder;
    private TokenDesk mDesk;
    private ShardKeeper mShards;
    private OrderDesk mOrders;
    private LiveListWatcher mLiveList;
    private long mStartedMs;
    private long mNextSlowTickMs;
    private long mPublishedVersion = -1;
    private final CompletableFuture<Void> mReady = new CompletableFuture<>();
    private volatile Snapshot mSnapshot;

    /** Creates the control loop on a context of its own. */
    public ControlLoop(
            Vertx vertx,
            Context context,
            EntrySettings settings,
            Store store,
            PlatformDirectory platform,
            LongSupplier clockMs) {
        mVertx = vertx;
        mContext = context;
        mSettings = settings;
        mStore = store;
        mPlatform = platform;
        mClockMs = clockMs;
        mCrashes = new CrashMemory(context, clockMs, this::flood);
        mCallerDirectory = new CallerDirectoryPublisher(platform, settings.callerTls() != null);
        registerHandlers();
    }

    /** Starts to listen for other instances; returns the port. */
    public CompletableFuture<Integer> listen() {
        mNetwork =
                new PeerNetwork(
                        mVertx,
                        mContext,
                        mSettings.peerSecurity(),
                        () -> mMembership.self(),
                        this::receive,
                        violation -> LOG.warn("A peer was rejected.", Field.of("why", violation)));
        return mNetwork.listen(mSettings.host(), mSettings.peerPort());
    }

    /** Joins the other instances as the given member; must run on the control context. */
    public void start(Member self) {
        long nowMs = mClockMs.getAsLong();
        mStartedMs = nowMs;
        mMembership = new Membership(self, MembershipSettings.DEFAULT, new SecureRandom());
        mMembership.addSeeds(mSettings.seeds());
        mRelayRole = new RelayRole(mMembership);
        ConfigurationStore configurationStore = new ConfigurationStore(mStore);
        mSync = new ConfigurationSync(mContext, configurationStore, this::adopted);
        mChanges =
                new ChangeService(mContext, configurationStore, mSync, System::currentTimeMillis);
        mHolder = new TokenHolder(self.region(), TokenSettings.DEFAULT, nowMs);
        mDesk =
                new TokenDesk(
                        mContext,
                        TokenSettings.DEFAULT,
                        mHolder,
                        mDirectory,
                        mMembership,
                        mSync,
                        mNetwork,
                        mClockMs);
        mShards =
                new ShardKeeper(
                        mContext,
                        mStore,
                        mMembership,
                        mDirectory,
                        mHolder,
                        mDesk,
                        new ShardPlanner(TokenSettings.DEFAULT.shards()),
                        mClockMs,
                        new FloodAnnouncer());
        mOrders = new OrderDesk(mVertx, mContext, mStore, mMembership, mClockMs);
        mLiveList =
                new LiveListWatcher(
                        mContext, self.id(), mPlatform, mClockMs, this::liveListChanged);
        publish();
        send(mMembership.join(0));
        mVertx.setPeriodic(TICK_MS, timer -> tick());
    }

    private void tick() {
        long nowMs = mClockMs.getAsLong();
        mMembership.setSharedDigest(mDirectory.digest());
        send(mMembership.tick(mSync.current().revision(), nowMs));
        mLiveList.tick(mMembership.members().size(), nowMs);
        mSync.tick(mRelayRole.held(), nowMs);
        mDesk.apply(mHolder.setIsolated(isIsolated(nowMs)));
        mDesk.apply(mHolder.tick(nowMs));
        mDesk.tick(nowMs);
        if (nowMs >= mNextSlowTickMs) {
            mNextSlowTickMs = nowMs + SLOW_TICK_MS;
            slowTick(nowMs);
        }
        if (mSync.ready()) {
            mReady.complete(null);
        }
        if (mMembership.version() != mPublishedVersion) {
            mPublishedVersion = mMembership.version();
            publish();
        }
    }

    private void slowTick(long nowMs) {
        if (mMembership.self().state() == MemberState.LEAVING) {
            return;
        }
        mShards.tick(owner -> isGone(owner, nowMs));
        mOrders.tick(mSync.current());
        mRevisions.keySet().removeIf(id -> mMembership.member(id).isEmpty());
        mCallerDirectory.tick(mMembership.self(), nowMs);
    }

    private boolean isIsolated(long nowMs) {
        return IsolationRule.isIsolated(
                mMembership.hasPeersInRegion(),
                mMembership.lastAnswerMs().orElse(mStartedMs),
                mLiveList.lastListedMs().orElse(mStartedMs),
                nowMs);
    }

    private boolean isGone(ShardOwner owner, long nowMs) {
        return GoneRule.isGone(
                mMembership.member(owner.owner()).map(Member::state),
                nowMs - mMembership.stateSinceMs(owner.owner()).orElse(nowMs),
                nowMs - mStartedMs,
                mLiveList.lacks(owner.owner(), nowMs));
    }

    private void liveListChanged() {
        mMembership.addSeeds(mLiveList.peerAddresses());
        if (mMembership.members().size() == 1) {
            send(mMembership.join(mSync.current().revision()));
        }
        publish();
    }

    private void adopted(Change change, InstanceId from) {
        mHolder.setConfiguration(mSync.current(), mClockMs.getAsLong());
        publish();
        if (change != null) {
            flood(new PeerMessage.ChangePush(List.of(change)), from);
        }
    }

    private void publish() {
        mSnapshot =
                new Snapshot(
                        mSync.current(),
                        mMembership.self(),
                        mMembership.members(),
                        mLiveList.leavingEndpoints(),
                        holdersHere());
        mListeners.forEach(Runnable::run);
    }

    /** Returns the holder of each shard of this region, so that callers can be sent to it. */
    private Map<Integer, InstanceId> holdersHere() {
        Map<Integer, InstanceId> holders = new HashMap<>();
        mDirectory.ownersIn(mMembership.self().region()).stream()
                .filter(owner -> !owner.released())
                .forEach(owner -> holders.put(owner.shard(), owner.owner()));
        return Map.copyOf(holders);
    }

    private void flood(PeerMessage message, InstanceId from) {
        mMembership
                .floodTargets(from, mClockMs.getAsLong())
                .forEach(to -> mNetwork.send(to, message));
    }

    private void send(List<PeerSend> sends) {
        sends.forEach(each -> mNetwork.send(each.to(), each.message()));
    }

    private void receive(PeerConnection connection, PeerMessage message) {
        if (mMembership == null || connection.peer() == null) {
            return;
        }
        BiConsumer<PeerConnection, PeerMessage> handler = mHandlers.get(message.getClass());
        if (handler != null) {
            handler.accept(connection, message);
        }
    }

    private <T extends PeerMessage> void on(Class<T> type, BiConsumer<PeerConnection, T> handler) {
        mHandlers.put(
                type, (connection, message) -> handler.accept(connection, type.cast(message)));
    }

    private void registerHandlers() {
        on(PeerMessage.Heartbeat.class, (from, message) -> handle(message));
        on(PeerMessage.HeartbeatAck.class, (from, message) -> handle(message));
        on(
                PeerMessage.MemberUpdates.class,
                (from, message) -> send(mMembership.handle(message, id(from), now())));
        on(PeerMessage.MembersRequest.class, (from, message) -> sendTable(from));
        on(PeerMessage.ChangePush.class, this::handleChanges);
        on(PeerMessage.ChangesRequest.class, (from, message) -> reply(from, mSync.answer(message)));
        on(PeerMessage.SnapshotPush.class, (from, message) -> mSync.handle(message, id(from)));
        on(PeerMessage.ShardUpdates.class, this::handleOwners);
        on(PeerMessage.ShardHandover.class, (from, message) -> mShards.handle(message));
        on(PeerMessage.ReserveRequest.class, (from, message) -> mDesk.handle(id(from), message));
        on(PeerMessage.ReserveReply.class, (from, message) -> mDesk.handle(id(from), message));
        on(
                PeerMessage.Settle.class,
                (from, message) ->
                        mDesk.apply(
                                mHolder.settle(
                                        message.account(),
                                        message.reservation(),
                                        message.unusedTokens(),
                                        now())));
        on(
                PeerMessage.LoanRequest.class,
                (from, message) -> reply(from, mHolder.lend(message, now())));
        on(
                PeerMessage.LoanGrant.class,
                (from, message) -> mDesk.apply(mHolder.loanGranted(message, now())));
        on(PeerMessage.CrashReport.class, (from, message) -> mCrashes.handle(message, id(from)));
    }

    /** Notes new owners; a shard that has become free is claimed at the next tick. */
    private void handleOwners(PeerConnection from, PeerMessage.ShardUpdates updates) {
        if (mShards.handle(updates, news -> passOn(news, id(from)))) {
            mNextSlowTickMs = 0;
        }
    }

    private void passOn(PeerMessage.ShardUpdates news, InstanceId from) {
        flood(news, from);
        publish();
    }

    private void handle(PeerMessage.Heartbeat heartbeat) {
        noteRevision(heartbeat.sender(), heartbeat.revision());
        send(mMembership.handle(heartbeat, mSync.current().revision(), now()));
    }

    private void handle(PeerMessage.HeartbeatAck ack) {
        noteRevision(ack.sender(), ack.revision());
        send(mMembership.handle(ack, now()));
    }

    /** Asks a member with a newer revision for the changes that are missing here. */
    private void noteRevision(Member sender, long revision) {
        mRevisions.put(sender.id(), revision);
        if (revision > mSync.current().revision()) {
            mNetwork.send(PeerAddress.of(sender), mSync.request(sender.id()));
        }
    }

    private void handleChanges(PeerConnection from, PeerMessage.ChangePush push) {
        if (mSync.handle(push, id(from))) {
            reply(from, mSync.request(id(from)));
        }
    }

    private void sendTable(PeerConnection from) {
        reply(from, new PeerMessage.MemberUpdates(mMembership.members()));
        reply(from, new PeerMessage.ShardUpdates(mDirectory.all()));
    }

    /** Replies over this instance's own connection, so that the receiver knows the sender. */
    private void reply(PeerConnection to, PeerMessage message) {
        mNetwork.send(PeerAddress.of(to.peer()), message);
    }

    private static InstanceId id(PeerConnection connection) {
        return connection.peer().id();
    }

    private long now() {
        return mClockMs.getAsLong();
    }

    /** Tells the others that this instance takes no new work, and hands its shards over. */
    public CompletableFuture<Void> leave() {
        CompletableFuture<Void> left = new CompletableFuture<>();
        mContext.runOnContext(
                ignored -> {
                    send(mMembership.setOwnState(MemberState.LEAVING, now()));
                    publish();
                    mCallerDirectory.withdraw(mMembership.self());
                    mOrders.releaseAll();
                    mVertx.setPeriodic(
                            TICK_MS,
                            timer -> {
                                if (mShards.releaseAll()) {
                                    mVertx.cancelTimer(timer);
                                    left.complete(null);
                                }
                            });
                });
        return left;
    }

    /** Tells the others that this instance has stopped, and closes its connections. */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        mContext.runOnContext(
                ignored -> {
                    send(mMembership.setOwnState(MemberState.DEAD, now()));
                    mSync.close();
                    mVertx.setTimer(
                            TICK_MS,
                            timer -> mNetwork.close().thenRun(() -> stopped.complete(null)));
                });
        return stopped;
    }

    /** Asks all members which revision is in force there; the answers come with time. */
    public void askRevisions() {
        mContext.runOnContext(
                ignored -> {
                    PeerMessage heartbeat =
                            new PeerMessage.Heartbeat(
                                    mMembership.self(),
                                    mSync.current().revision(),
                                    mMembership.digest());
                    mMembership.members().stream()
                            .filter(member -> !member.id().equals(mMembership.self().id()))
                            .filter(member -> member.state() != MemberState.DEAD)
                            .forEach(member -> mNetwork.send(PeerAddress.of(member), heartbeat));
                });
    }

    /** Completes when the instance knows the configuration and can serve callers. */
    public CompletableFuture<Void> ready() {
        return mReady;
    }

    /** Returns the newest published state; may be called from any thread. */
    public Snapshot snapshot() {
        return mSnapshot;
    }

    /** Runs the listener on the control thread whenever the published state changes. */
    public void onChange(Runnable listener) {
        mListeners.add(listener);
    }

    /** Returns the memory of requests that crashed endpoints. */
    public CrashMemory crashes() {
        return mCrashes;
    }

    /** Returns the desk where traffic threads reserve tokens. */
    public TokenDesk tokens() {
        return mDesk;
    }

    /** Returns the service that accepts operators' changes; for the control thread only. */
    public ChangeService changes() {
        return mChanges;
    }

    /** Returns the control context. */
    public Context context() {
        return mContext;
    }

    /** Returns the network between instances; for the control thread only. */
    public PeerNetwork network() {
        return mNetwork;
    }

    /** Returns the control state for the state dump; for the control thread only. */
    public ControlState state() {
        List<ControlState.MemberRevision> revisions = new ArrayList<>();
        for (Member member : mMembership.members()) {
            boolean own = member.id().equals(mMembership.self().id());
            long revision =
                    own ? mSync.current().revision() : mRevisions.getOrDefault(member.id(), 0L);
            revisions.add(new ControlState.MemberRevision(member.id(), member.state(), revision));
        }
        return new ControlState(
                mMembership.self(),
                mMembership.members(),
                mSync.current().revision(),
                mSync.current().digest(),
                mSync.log().forkedOffers(),
                revisions,
                mDirectory.all(),
                mHolder.suspended(),
                mHolder.accounts(now()),
                mSync.current().all(Account.class).size(),
                mCrashes.size(),
                mOrders.state(),
                mStore.calls(),
                new ControlState.PeerTraffic(
                        mNetwork.counters().messagesSent(),
                        mNetwork.counters().bytesSent(),
                        mNetwork.counters().messagesReceived(),
                        mNetwork.counters().bytesReceived(),
                        mNetwork.counters().rejected()));
    }

    /** Returns the recent changes, oldest first; for the control thread only. */
    public List<Change> recentChanges() {
        return mSync.log().recent();
    }

    /** Spreads news of shards by flooding. */
    private final class FloodAnnouncer implements ShardKeeper.Announcer {

        @Override
        public void announce(PeerMessage message) {
            flood(message, null);
            publish();
        }

        @Override
        public void send(Member to, PeerMessage message) {
            mNetwork.send(PeerAddress.of(to), message);
        }
    }
}
