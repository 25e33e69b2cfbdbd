package org.filbertrudder.gateway.control;

import static org.testng.Assert.assertEquals;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.filbertrudder.gateway.BoundSettings;
import org.filbertrudder.gateway.config.CallerLimits;
import org.filbertrudder.gateway.config.EndpointRegistration;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InvalidValueException;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.StoreEra;
import org.filbertrudder.model.message.CrashRecord;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PartEvidence;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.freshness.ClockReading;
import org.filbertrudder.policy.freshness.StateFreshness;
import org.filbertrudder.store.StoreCallCounts;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which responses of the store and of the relay an instance applies. */
public class StateFollowerTest {

    private static final Map<String, String> REGISTERED = Map.of("leaving", "", "staying", "");

    private final List<CompletableFuture<OperatorState>> mStoreResponses = new ArrayList<>();
    private final List<Long> mAppliedVersions = new ArrayList<>();
    private final List<PeerMessage.OperatorStateRequest> mRelayRequests = new ArrayList<>();
    private Optional<EndpointListing> mRegistrations;
    private StateFreshness mStateFreshness;
    private int mEndpointReads;
    private final List<PeerMessage.OperatorStateRequest> mPeerRequests = new ArrayList<>();
    private boolean mStoreFails;
    private boolean mIsRelay;
    private boolean mMayHavePeers;
    private Vertx mVertx;
    private Context mContext;
    private StateFollower mFollower;

    @BeforeMethod
    public void createFollower() {
        mStoreResponses.clear();
        mAppliedVersions.clear();
        mRelayRequests.clear();
        mPeerRequests.clear();
        mMayHavePeers = false;
        mStoreFails = false;
        mEndpointReads = 0;
        mRegistrations = Optional.empty();
        mIsRelay = true;
        mStateFreshness = new StateFreshness(5_000, 250);
        mVertx = Vertx.vertx();
        mContext = mVertx.getOrCreateContext();
        BoundSettings bounds = new BoundSettings(5_000, 4_000, 4_000, 1_200, 8_000, 0.2, 50);
        mFollower =
                new StateFollower(mContext, new Source(), bounds, mStateFreshness, new Listener());
        onContext(() -> mFollower.tick(new ClockReading(1_000, 1_000)));
        onContext(() -> mFollower.tick(new ClockReading(2_000, 2_000)));
    }

    @AfterMethod(alwaysRun = true)
    public void closeVertx() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private void onContext(Runnable action) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mContext.runOnContext(
                ignored -> {
                    action.run();
                    done.complete(null);
                });
        done.join();
    }

    private void respond(int read, long revision, String configuration) {
        mStoreResponses
                .get(read)
                .complete(
                        new OperatorState(StoreEra.UNREPORTED, revision, configuration, Map.of()));
        onContext(() -> {});
    }

    @Test
    public void ignoresOlderVersionThatArrivesLater() {
        respond(1, 5, "50");
        respond(0, 3, "30");

        assertEquals(mAppliedVersions, List.of(50L));
        assertEquals(mFollower.configuration().version(), 50);
    }

    @Test
    public void appliesVersionsThatArriveInOrder() {
        respond(0, 3, "30");
        respond(1, 5, "50");

        assertEquals(mAppliedVersions, List.of(30L, 50L));
    }

    @Test
    public void keepsConfigurationIfNewDocumentIsInvalid() {
        respond(0, 3, "30");
        respond(1, 5, "nonsense");

        assertEquals(mAppliedVersions, List.of(30L));
    }

    /**
     * Makes the follower ready as an instance that is not a relay; returns the time of the reads.
     */
    private ClockReading becomeReadyAsNonRelay() {
        mRegistrations = Optional.of(new EndpointListing(StoreEra.UNREPORTED, REGISTERED));
        ClockReading now = Clocks.now();
        onContext(() -> mFollower.tick(now));
        onContext(() -> {});
        respond(mStoreResponses.size() - 1, 3, "30");
        mIsRelay = false;
        mEndpointReads = 0;
        return now;
    }

    private static ClockReading later(ClockReading reading, long ms) {
        return new ClockReading(reading.steadyMs() + ms, reading.wallMs() + ms);
    }

    @Test
    public void nonRelayReadsFromRelayOnly() {
        ClockReading readyAt = becomeReadyAsNonRelay();
        int storeReads = mStoreResponses.size();

        onContext(() -> mFollower.tick(later(readyAt, 950)));
        onContext(() -> mFollower.tick(later(readyAt, 1_900)));

        assertEquals(mRelayRequests.size(), 2);
        assertEquals(mStoreResponses.size(), storeReads);
        assertEquals(mEndpointReads, 0);
    }

    @Test
    public void nonRelayReadsFromStoreIfRelayDoesNotReply() {
        ClockReading readyAt = becomeReadyAsNonRelay();
        int storeReads = mStoreResponses.size();

        onContext(() -> mFollower.tick(later(readyAt, 2_500)));
        onContext(() -> mFollower.tick(later(readyAt, 2_600)));

        assertEquals(mStoreResponses.size(), storeReads + 1);
        assertEquals(mEndpointReads, 1);
    }

    @Test
    public void ageOfRelayReplyIsCountedFromRequest() {
        ClockReading readyAt = becomeReadyAsNonRelay();
        onContext(() -> mFollower.tick(later(readyAt, 950)));
        PeerMessage.OperatorStateRequest request = mRelayRequests.get(0);

        onContext(() -> mFollower.handle(reply(request.id(), 400, 7, "70")));

        assertEquals(mAppliedVersions, List.of(30L, 70L));
        assertEquals(mStateFreshness.ageMs(later(readyAt, 950)), 400);
    }

    @Test
    public void ignoresUnsolicitedReply() {
        ClockReading readyAt = becomeReadyAsNonRelay();

        onContext(() -> mFollower.handle(reply(12_345, 0, 7, "70")));

        assertEquals(mAppliedVersions, List.of(30L));
        assertEquals(mStateFreshness.ageMs(later(readyAt, 100)), 100);
    }

    @Test
    public void startedInstanceFollowsTheStoreAlthoughAPeerKnowsANewerVersion() {
        mMayHavePeers = true;
        onContext(() -> mFollower.tick(Clocks.now()));
        respond(0, 20, "60");
        assertEquals(mAppliedVersions, List.of(), "the peers have not replied");
        assertEquals(mStateFreshness.isFresh(Clocks.now()), false);
        long request = mPeerRequests.get(mPeerRequests.size() - 1).id();

        onContext(() -> mFollower.handle(reply(request, -1, 22, "130")));

        assertEquals(mAppliedVersions, List.of(130L));
        assertEquals(mStateFreshness.isFresh(Clocks.now()), false, "nothing confirms it");
    }

    private List<String> endpointIds() {
        return mFollower.endpoints().stream()
                .map(each -> each.endpoint().id().value())
                .sorted()
                .toList();
    }

    /** Guards against the use of a departed endpoint on the word of a relay that was cut off. */
    @Test
    public void endpointThatHasLeftIsKeptAsItsRelayWasCutFromTheStore() {
        ClockReading readyAt = becomeReadyAsNonRelay();
        onContext(() -> mFollower.tick(later(readyAt, 950)));
        PeerMessage.OperatorStateRequest request = mRelayRequests.get(0);
        assertEquals(endpointIds(), List.of("leaving", "staying"));

        onContext(() -> mFollower.handle(replyAfterOutage(request.id(), Map.of("staying", ""))));

        assertEquals(endpointIds(), List.of("staying"));
    }

    /** Guards against the loss of endpoints whose registrations expire while the store is out. */
    @Test
    public void endpointIsLostThatRegistersAgainAfterAnOutageOfTheStore() {
        mRegistrations = Optional.of(new EndpointListing(StoreEra.UNREPORTED, REGISTERED));
        ClockReading beforeOutage = later(Clocks.now(), -10_000);
        onContext(() -> mFollower.tick(beforeOutage));
        onContext(() -> {});
        mStoreFails = true;
        for (long elapsedMs = 1_200; elapsedMs < 9_000; elapsedMs += 1_200) {
            ClockReading now = later(beforeOutage, elapsedMs);
            onContext(() -> mFollower.tick(now));
            onContext(() -> {});
        }
        mStoreFails = false;
        mRegistrations =
                Optional.of(new EndpointListing(StoreEra.UNREPORTED, Map.of("staying", "")));

        onContext(() -> mFollower.tick(later(beforeOutage, 9_900)));
        onContext(() -> {});

        assertEquals(mEndpointReads, 10);
        assertEquals(endpointIds(), List.of("leaving", "staying"));
    }

    private static PeerMessage.OperatorStateReply reply(
            long id, long ageMs, long revision, String configuration) {
        return reply(id, ageMs, revision, configuration, Map.of(), false);
    }

    private static PeerMessage.OperatorStateReply replyAfterOutage(
            long id, Map<String, String> endpoints) {
        return reply(id, 400, 3, "30", endpoints, true);
    }

    private static PeerMessage.OperatorStateReply reply(
            long id,
            long ageMs,
            long revision,
            String configuration,
            Map<String, String> endpoints,
            boolean afterOutage) {
        return new PeerMessage.OperatorStateReply(
                id,
                ageMs,
                revision,
                configuration,
                Map.of(),
                endpoints,
                0,
                0,
                afterOutage,
                Long.parseLong(configuration),
                0,
                0,
                -1,
                0);
    }

    /** Records the applied versions and the requests to the relay. */
    private final class Listener implements StateFollower.Listener {

        @Override
        public void configurationChanged(GatewayConfiguration configuration) {
            mAppliedVersions.add(configuration.version());
        }

        @Override
        public void endpointsChanged() {}

        @Override
        public boolean isRelay() {
            return mIsRelay;
        }

        @Override
        public void sendToRelay(PeerMessage.OperatorStateRequest request) {
            mRelayRequests.add(request);
        }

        @Override
        public boolean mayHavePeers() {
            return mMayHavePeers;
        }

        @Override
        public int sendToPeers(PeerMessage.OperatorStateRequest request, int maxPeers) {
            mPeerRequests.add(request);
            return mMayHavePeers ? maxPeers : 0;
        }
    }

    /** Leaves reads pending until the test responds; a document holds only its version number. */
    private final class Source implements StateSource {

        @Override
        public Uni<OperatorState> readOperatorState(OperatorState lastState) {
            CompletableFuture<OperatorState> response = new CompletableFuture<>();
            mStoreResponses.add(response);
            return Uni.createFrom().completionStage(response);
        }

        @Override
        public Uni<StoredCrashRecords> readCrashRecords() {
            return Uni.createFrom().nothing();
        }

        @Override
        public Uni<StoredCrashRecords> writeCrashRecords(List<CrashRecord> records, long revision) {
            return Uni.createFrom().nothing();
        }

        @Override
        public GatewayConfiguration decodeConfiguration(String document) {
            try {
                return new GatewayConfiguration(
                        Long.parseLong(document),
                        List.of(),
                        List.of(),
                        List.of(),
                        Map.of(),
                        new CallerLimits(1, 1, 1, 1));
            } catch (NumberFormatException e) {
                throw new InvalidValueException("The document is not a version number.");
            }
        }

        @Override
        public Uni<EndpointListing> readEndpoints() {
            mEndpointReads++;
            if (mStoreFails) {
                return Uni.createFrom().failure(new IllegalStateException("refused"));
            }
            return mRegistrations
                    .map(found -> Uni.createFrom().item(found))
                    .orElseGet(() -> Uni.createFrom().nothing());
        }

        @Override
        public Optional<EndpointRegistration> decodeEndpoint(String id, String registration) {
            Endpoint endpoint =
                    Endpoint.of(
                            EndpointId.of(id),
                            ServiceId.of("pool"),
                            RegionId.of("mtl"),
                            FailureDomainId.of("mtl-a"),
                            "10.0.0.1",
                            80,
                            8);
            return Optional.of(new EndpointRegistration(endpoint, false, 0, 1, 1));
        }

        @Override
        public Uni<Void> register(Member self) {
            return Uni.createFrom().voidItem();
        }

        @Override
        public Uni<Void> unregister() {
            return Uni.createFrom().voidItem();
        }

        @Override
        public Uni<List<Member>> readInstances() {
            return Uni.createFrom().item(List.of());
        }

        @Override
        public Uni<List<PartEvidence>> readBlockedParts() {
            return Uni.createFrom().item(List.of());
        }

        @Override
        public Uni<Void> writeBlockedPart(PartEvidence evidence) {
            return Uni.createFrom().voidItem();
        }

        @Override
        public Uni<Void> deleteBlockedPart(String part) {
            return Uni.createFrom().voidItem();
        }

        @Override
        public StoreEra era() {
            return StoreEra.UNREPORTED;
        }

        @Override
        public StoreCallCounts calls() {
            return new StoreCallCounts(0, 0, 0, 0);
        }
    }
}
