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
import org.filbertrudder.gateway.config.CallerLimits;
import org.filbertrudder.gateway.config.EndpointEntry;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.model.InvalidValueException;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.freshness.FreshnessFence;
import org.filbertrudder.policy.freshness.Moment;
import org.filbertrudder.store.StoreCalls;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which answers of the store an instance adopts. */
public class StateFollowerTest {

    private final List<CompletableFuture<OperatorState>> mAnswers = new ArrayList<>();
    private final List<Long> mAdopted = new ArrayList<>();
    private final List<PeerMessage.StateRequest> mQuestions = new ArrayList<>();
    private Optional<Map<String, String>> mEndpoints;
    private FreshnessFence mFence;
    private int mEndpointReads;
    private boolean mRelay;
    private Vertx mVertx;
    private Context mContext;
    private StateFollower mFollower;

    @BeforeMethod
    public void createFollower() {
        mAnswers.clear();
        mAdopted.clear();
        mQuestions.clear();
        mEndpoints = Optional.empty();
        mRelay = true;
        mFence = new FreshnessFence(5_000, 250);
        mVertx = Vertx.vertx();
        mContext = mVertx.getOrCreateContext();
        mFollower = new StateFollower(mContext, new Source(), mFence, new Listener());
        onContext(() -> mFollower.tick(new Moment(1_000, 1_000)));
        onContext(() -> mFollower.tick(new Moment(2_000, 2_000)));
    }

    @AfterMethod(alwaysRun = true)
    public void closeLoop() {
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

    private void answer(int question, long revision, String configuration) {
        mAnswers.get(question).complete(new OperatorState(revision, configuration, Map.of()));
        onContext(() -> {});
    }

    @Test
    public void anOlderVersionThatArrivesLaterIsNotAdopted() {
        answer(1, 5, "50");
        answer(0, 3, "30");

        assertEquals(mAdopted, List.of(50L));
        assertEquals(mFollower.configuration().version(), 50);
    }

    @Test
    public void versionsThatArriveInOrderAreAdopted() {
        answer(0, 3, "30");
        answer(1, 5, "50");

        assertEquals(mAdopted, List.of(30L, 50L));
    }

    @Test
    public void aDocumentThatCannotBeReadChangesNothing() {
        answer(0, 3, "30");
        answer(1, 5, "nonsense");

        assertEquals(mAdopted, List.of(30L));
    }

    /** Makes the follower ready as an instance that is no relay; returns the time. */
    private Moment readyWithoutRole() {
        mEndpoints = Optional.of(Map.of());
        Moment now = Clocks.now();
        onContext(() -> mFollower.tick(now));
        onContext(() -> {});
        answer(mAnswers.size() - 1, 3, "30");
        mRelay = false;
        mEndpointReads = 0;
        return now;
    }

    private static Moment later(Moment moment, long ms) {
        return new Moment(moment.steadyMs() + ms, moment.wallMs() + ms);
    }

    @Test
    public void anInstanceThatIsNoRelayAsksItsRelayAndNotTheStore() {
        Moment ready = readyWithoutRole();
        int calls = mAnswers.size();

        onContext(() -> mFollower.tick(later(ready, 950)));
        onContext(() -> mFollower.tick(later(ready, 1_900)));

        assertEquals(mQuestions.size(), 2);
        assertEquals(mAnswers.size(), calls);
        assertEquals(mEndpointReads, 0);
    }

    @Test
    public void anInstanceWhoseRelayIsSilentAsksTheStore() {
        Moment ready = readyWithoutRole();
        int calls = mAnswers.size();

        onContext(() -> mFollower.tick(later(ready, 2_500)));
        onContext(() -> mFollower.tick(later(ready, 2_600)));

        assertEquals(mAnswers.size(), calls + 1);
        assertEquals(mEndpointReads, 1);
    }

    @Test
    public void aRelaysWordCountsFromTheQuestionOnLessItsAge() {
        Moment ready = readyWithoutRole();
        onContext(() -> mFollower.tick(later(ready, 950)));
        PeerMessage.StateRequest question = mQuestions.get(0);

        onContext(() -> mFollower.handle(reply(question.id(), 400, 7, "70")));

        assertEquals(mAdopted, List.of(30L, 70L));
        assertEquals(mFence.ageMs(later(ready, 950)), 400);
    }

    @Test
    public void aReplyThatNobodyAskedForProvesNothing() {
        Moment ready = readyWithoutRole();

        onContext(() -> mFollower.handle(reply(12_345, 0, 7, "70")));

        assertEquals(mAdopted, List.of(30L));
        assertEquals(mFence.ageMs(later(ready, 100)), 100);
    }

    private static PeerMessage.StateReply reply(
            long id, long ageMs, long revision, String configuration) {
        return new PeerMessage.StateReply(
                id, ageMs, revision, configuration, Map.of(), Map.of(), 0, 0, false);
    }

    /** Notes what is adopted. */
    private final class Listener implements StateFollower.Listener {

        @Override
        public void configurationChanged(GatewayConfiguration configuration) {
            mAdopted.add(configuration.version());
        }

        @Override
        public void endpointsChanged() {}

        @Override
        public boolean isRelay() {
            return mRelay;
        }

        @Override
        public void askRelay(PeerMessage.StateRequest request) {
            mQuestions.add(request);
        }

        @Override
        public void askPeers(PeerMessage.StateRequest request) {}
    }

    /** Answers questions when the test says so; a document is its version. */
    private final class Source implements StateSource {

        @Override
        public Uni<OperatorState> readOperatorState(OperatorState known) {
            CompletableFuture<OperatorState> answer = new CompletableFuture<>();
            mAnswers.add(answer);
            return Uni.createFrom().completionStage(answer);
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
                throw new InvalidValueException("The document is no number.");
            }
        }

        @Override
        public Uni<Map<String, String>> readEndpoints() {
            mEndpointReads++;
            return mEndpoints
                    .map(found -> Uni.createFrom().item(found))
                    .orElseGet(() -> Uni.createFrom().nothing());
        }

        @Override
        public Optional<EndpointEntry> decodeEndpoint(String id, String registration) {
            return Optional.empty();
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
        public StoreCalls calls() {
            return new StoreCalls(0, 0, 0, 0);
        }
    }
}
