package org.filbertrudder.policy.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that engines are not filled with prompts until long responses miss their deadlines. */
public class UnfinishedStreamTest {

    private static final ServiceId SERVICE = ServiceId.of("pool");
    private static final RegionId REGION = RegionId.of("mtl");
    private static final long START_MS = 100_000;
    private static final int TOKENS_PER_EVENT = 8;
    private static final int EVENTS = 100;
    private static final long FASTEST_MS_PER_EVENT = 30;

    private EndpointTable mTable;
    private long mNowMs;

    @BeforeMethod
    public void createTable() {
        mTable = new EndpointTable();
        mTable.setEndpoints(IntStream.range(0, 2).mapToObj(this::endpoint).toList(), 0);
        mTable.findByService(SERVICE).forEach(state -> state.setEngineMemory(400_000));
        mNowMs = START_MS;
    }

    private Endpoint endpoint(int number) {
        return Endpoint.of(
                EndpointId.of("e" + number),
                SERVICE,
                REGION,
                FailureDomainId.of("mtl-a"),
                "127.0.0.1",
                1 + number,
                64);
    }

    private EndpointState engine(int number) {
        return mTable.findById(EndpointId.of("e" + number)).orElseThrow();
    }

    private static PromptDemand prompt(int events) {
        return new PromptDemand(
                List.of(new PromptPart("own", 500)), 500, (long) events * TOKENS_PER_EVENT);
    }

    private void receiveEvents(PromptLoad stream, int count, long msPerEvent) {
        for (int i = 0; i < count; i++) {
            mNowMs += msPerEvent;
            stream.eventsReceived(1, mNowMs);
        }
    }

    /** Completes a stream, from which the pace and the tokens per event are learned. */
    private void completeStream(EndpointState engine, int events, long msPerEvent) {
        PromptLoad stream = engine.addPromptLoad(prompt(events), mNowMs + 60_000, mNowMs);
        receiveEvents(stream, events, msPerEvent);
        stream.complete();
    }

    @DataProvider
    private static Object[][] streams() {
        return new Object[][] {
            // The time that is left when ten of a hundred events have come, and the prefill
            // backlog that the engine then accepts, for a prompt that is read in 9 ms.
            {20_000, 372},
            {5_000, 292},
            {4_400, 121},
            {4_000, 47},
            {2_800, 47},
            {2_600, 372},
        };
    }

    @Test(dataProvider = "streams")
    public void acceptsFewPromptsWhileAStreamNeedsTheTimeUntilItsDeadline(
            long remainingMs, double maxBacklogMs) {
        completeStream(engine(0), 20, FASTEST_MS_PER_EVENT);
        PromptLoad stream =
                engine(0).addPromptLoad(prompt(EVENTS), mNowMs + 300 + remainingMs, mNowMs);
        receiveEvents(stream, 10, FASTEST_MS_PER_EVENT);

        assertEquals(acceptedBacklogMs(engine(0)), maxBacklogMs, 2.0);
    }

    /** Returns the longest prefill backlog of others with which the engine accepts a prompt. */
    private double acceptedBacklogMs(EndpointState engine) {
        double backlogMs = 0;
        while (backlogMs < 1_000 && accepts(engine, backlogMs + 1)) {
            backlogMs++;
        }
        return backlogMs;
    }

    private boolean accepts(EndpointState engine, double backlogMs) {
        engine.recordLoadOfOthers(1, backlogMs, 500, 0, mNowMs);
        return !engine.isBlockedByPrefillBacklog(prompt(10), false, 0, mNowMs);
    }

    @Test
    public void aStreamOfAnotherInstanceCountsLikeAnOwnOne() {
        engine(0).recordLoadOfOthers(1, 100, 500, 1_500, mNowMs);
        boolean blocked = engine(0).isBlockedByPrefillBacklog(prompt(10), false, 0, mNowMs);
        engine(0).recordLoadOfOthers(1, 100, 500, 0, mNowMs);

        assertTrue(blocked);
        assertFalse(engine(0).isBlockedByPrefillBacklog(prompt(10), false, 0, mNowMs));
    }

    @Test
    public void acceptsPromptsAgainWhenTheStreamHasEnded() {
        completeStream(engine(0), 20, FASTEST_MS_PER_EVENT);
        PromptLoad stream = engine(0).addPromptLoad(prompt(EVENTS), mNowMs + 3_100, mNowMs);
        receiveEvents(stream, 10, FASTEST_MS_PER_EVENT);
        double whileRunningMs = engine(0).ownMissingMs();

        stream.release();

        assertTrue(whileRunningMs > 1_500, whileRunningMs + " ms");
        assertEquals(engine(0).ownMissingMs(), 0.0);
        assertEquals(engine(0).ownPrefillMs(), 0.0);
    }

    @Test
    public void learnsTheTokensPerEventFromAllEnginesOfTheService() {
        completeStream(engine(1), 20, FASTEST_MS_PER_EVENT);
        PromptLoad stream = engine(0).addPromptLoad(prompt(EVENTS), mNowMs + 3_100, mNowMs);
        receiveEvents(stream, 10, FASTEST_MS_PER_EVENT);

        assertTrue(engine(0).ownMissingMs() > 1_500, engine(0).ownMissingMs() + " ms");
    }

    @DataProvider
    private static Object[][] lengths() {
        return new Object[][] {{10, "e0"}, {100, "e1"}};
    }

    @Test(dataProvider = "lengths")
    public void placesALongResponseOnAnEngineThatCompletesItInTime(int events, String expected) {
        completeStream(engine(0), 20, 10 * FASTEST_MS_PER_EVENT);
        completeStream(engine(1), 20, FASTEST_MS_PER_EVENT);
        engine(1).recordLoadOfOthers(20, 200, 20_000, 0, mNowMs);
        RouteRequest request =
                new RouteRequest(
                        SERVICE,
                        region -> true,
                        "",
                        Set.of(),
                        Optional.empty(),
                        false,
                        false,
                        false,
                        Optional.of(prompt(events)),
                        10_000);

        Route route =
                new Router(REGION, mTable, region -> true)
                        .choose(request, new SingleRegion(REGION), 0, mNowMs);

        assertEquals(((Route.Local) route).endpoint().id(), EndpointId.of(expected));
    }
}
