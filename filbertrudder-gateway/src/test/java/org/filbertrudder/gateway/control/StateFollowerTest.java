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
    private boolean mRelay = true;
    private Vertx mVertx;
    private Context mContext;
    private StateFollower mFollower;

    @BeforeMethod
    public void createFollower() {
        mAnswers.clear();
        mAdopted.clear();
        mVertx = Vertx.vertx();
        mContext = mVertx.getOrCreateContext();
        mFollower =
                new StateFollower(
                        mContext, new Source(), new FreshnessFence(5_000, 250), new Listener());
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
            return Uni.createFrom().nothing();
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
