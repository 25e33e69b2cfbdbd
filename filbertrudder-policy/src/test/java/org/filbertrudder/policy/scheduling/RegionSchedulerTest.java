package org.filbertrudder.policy.scheduling;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.AllowedRegions;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.policy.routing.PromptDemand;
import org.filbertrudder.policy.scheduling.SimulatedRegion.Call;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the scheduler of a region on a virtual clock with late and lost reports and failures. */
public class RegionSchedulerTest {

    private static final int SEEDS = 1_000;
    private static final RegionId NORTH = RegionId.of("north");

    /** Lists the number of instances and the age of their reports in milliseconds. */
    @DataProvider
    public Object[][] regions() {
        return new Object[][] {
            {6, 20},
            {6, 250},
            {6, 2_000},
            {32, 20},
            {32, 250},
            {32, 2_000},
            {95, 20},
            {95, 250},
            {95, 2_000},
        };
    }

    /**
     * Guards against starts beyond the slots of an engine, second or missing decisions, refusals
     * while an engine has capacity, and overtaking beyond the stated bound. The load is a burst of
     * twice what the engines serve, while instances are killed and frozen and the scheduler
     * changes; {@link SimulatedRegion} checks each pass.
     */
    @Test(dataProvider = "regions")
    public void decidesOnceAndInOrderAmidFailures(int instances, int reportDelayMs) {
        for (long seed = 0; seed < SEEDS; seed++) {
            try {
                SimulatedRegion region =
                        new SimulatedRegion(
                                seed, instances, reportDelayMs, 4, seed % 2 == 0 ? 3 : 12);
                addBurst(region);
                int fault = region.mRandom.nextInt(4);
                long faultMs = 100 + region.mRandom.nextInt(700);
                region.mTime.add(faultMs, () -> injectFault(region, fault));
                region.mTime.run(5_000);
                region.checkAllDecided();
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
        }
    }

    private static void addBurst(SimulatedRegion region) {
        for (int i = 0; i < 80; i++) {
            String part = region.mRandom.nextBoolean() ? "part-" + region.mRandom.nextInt(3) : "";
            int tokens = (part.isEmpty() ? 500 : 6_000) + region.mRandom.nextInt(4_000);
            region.call(
                    region.mRandom.nextInt(1_000),
                    region.mRandom.nextInt(4) == 0 ? "light" : "heavy",
                    region.mRandom.nextInt(7),
                    SimulatedRegion.prompt(part, tokens, 10 + region.mRandom.nextInt(30)),
                    100 + region.mRandom.nextInt(1_500));
        }
    }

    private static void injectFault(SimulatedRegion region, int fault) {
        switch (fault) {
            case 0 -> region.kill();
            case 1 -> region.freeze(300 + region.mRandom.nextInt(1_500));
            case 2 -> region.changeScheduler();
            default -> {
                region.kill();
                region.changeScheduler();
            }
        }
    }

    /**
     * Guards against a heavy account that delays a light one: the heavy one asks for three times
     * what the engines read, the light one for a twentieth. The light one waits for the window of
     * an engine and one prompt there, not for the queue of the heavy one, as soon as the lag of the
     * heavy one shows.
     */
    @Test
    public void aHeavyAccountDelaysALightOneByTheWindowOnly() {
        SimulatedRegion region = new SimulatedRegion(1, 6, 20, 4, 24);
        for (int i = 0; i < 1_600; i++) {
            region.call(i * 5, "heavy", 2, SimulatedRegion.prompt("", 2_400, 10), 1_500);
        }
        for (int i = 0; i < 80; i++) {
            region.call(i * 100, "light", 2, SimulatedRegion.prompt("", 800, 10), 1_500);
        }
        region.mTime.run(10_000);
        for (Call call : region.mCalls) {
            if (call.mAccount.equals(AccountId.of("light")) && call.mArrivalMs >= 2_500) {
                long waitedMs = call.isServed() ? call.mStartedMs - call.mArrivalMs : 10_000;
                assertTrue(waitedMs <= 300, "waits " + waitedMs + " ms from " + call.mArrivalMs);
            }
        }
    }

    /**
     * Guards against ranks that are served less often than less urgent ones, against ranks that are
     * never served, and against short urgent prompts that wait for a burst of long ones. The load
     * is four times what the engines read; the most urgent rank asks for a tenth of what they read.
     */
    @Test
    public void moreUrgentRanksAreServedAtLeastAsOften() {
        int[] served = new int[4];
        int[] all = new int[4];
        for (long seed = 0; seed < 20; seed++) {
            SimulatedRegion region = new SimulatedRegion(seed, 32, 250, 4, 24);
            for (int i = 0; i < 800; i++) {
                int rank = i % 4;
                long tokens = rank == 0 ? 300 : 2_000 * rank;
                region.call(
                        region.mRandom.nextInt(4_000),
                        "account-" + region.mRandom.nextInt(5),
                        rank,
                        SimulatedRegion.prompt("", tokens, 20),
                        1_200);
            }
            region.mTime.run(8_000);
            for (Call call : region.mCalls) {
                all[call.mRank]++;
                served[call.mRank] += call.isServed() ? 1 : 0;
            }
        }
        for (int rank = 1; rank < 4; rank++) {
            String shares = served[rank - 1] + " and " + served[rank] + " of " + all[rank];
            assertTrue(served[rank] > 0, "rank " + rank + " is never served");
            assertTrue(served[rank - 1] >= served[rank], "rank " + rank + ": " + shares);
        }
        assertTrue(served[0] >= 0.98 * all[0], "rank 0: " + served[0] + " of " + all[0]);
    }

    /** Lists what the 1,000 waiting requests of a pass have in common. */
    private enum Waiting {
        NOTHING_SHARED,
        SHARED_PARTS,
        DIFFERENT_EXCLUSIONS
    }

    /** Lists how many engines are blocked, and how many requests a pass may evaluate at most. */
    @DataProvider
    public Object[][] backlogs() {
        return new Object[][] {
            {100, Waiting.NOTHING_SHARED, 2},
            {100, Waiting.DIFFERENT_EXCLUSIONS, 3},
            {50, Waiting.NOTHING_SHARED, 16},
            {50, Waiting.SHARED_PARTS, 16},
            {50, Waiting.DIFFERENT_EXCLUSIONS, 64},
        };
    }

    /**
     * Guards against a pass that evaluates each of 1,000 waiting requests for each of 100 engines,
     * of which some have a full backlog and the others no memory left.
     */
    @Test(dataProvider = "backlogs")
    public void aPassEvaluatesFewEngines(int blocked, Waiting kind, int evaluated) {
        RegionScheduler scheduler = scheduler(100, 50_000, new SpareRoom(NORTH, List.of(), 30));
        for (int i = 0; i < 100; i++) {
            InstanceId sender = InstanceId.of("instance-" + i);
            PromptDemand prompt = SimulatedRegion.prompt("", i < blocked ? 16_000 : 44_000, 10);
            StartId id = new StartId(sender, i);
            scheduler.replaceOpen(
                    sender, List.of(new OpenStart(id, engine(i), prompt, i >= blocked, 60_000)), 0);
        }
        for (int i = 0; i < 1_000; i++) {
            String part = kind == Waiting.SHARED_PARTS ? "part-" + i : "";
            boolean excludes = kind == Waiting.DIFFERENT_EXCLUSIONS;
            PromptDemand prompt = SimulatedRegion.prompt(part, 2_000 + i * 7 % 1_000, 10);
            Set<EndpointId> excluded = excludes ? Set.of(engine(i % 100)) : Set.of();
            scheduler.submit(request(i, prompt, excluded), 0);
        }
        assertEquals(scheduler.decide(0).size(), 0);
        long pairs = scheduler.evaluations();
        assertTrue(pairs <= 100L * evaluated, pairs + " evaluations");
    }

    /**
     * Guards against a second start of a request that its sender sends again after a lost
     * connection, and against a start on an engine that the sender could not use.
     */
    @Test
    public void aRequestSentAgainGetsTheSameStartUnlessItExcludesTheEngine() {
        RegionScheduler scheduler = scheduler(2, 50_000, new SpareRoom(NORTH, List.of(), 30));
        PromptDemand prompt = SimulatedRegion.prompt("part", 2_000, 10);
        scheduler.submit(request(1, prompt, Set.of()), 0);
        List<StartDecision> first = scheduler.decide(0);
        scheduler.submit(request(1, prompt, Set.of()), 50);
        assertEquals(scheduler.decide(50), first);
        assertEquals(scheduler.state(50).started(), 1);
        EndpointId used = ((StartDecision.Start) first.get(0)).endpoint();
        scheduler.submit(request(1, prompt, Set.of(used)), 100);
        StartDecision.Start second = (StartDecision.Start) scheduler.decide(100).get(0);
        assertNotEquals(second.endpoint(), used);
        assertEquals(scheduler.engines().engine(used).openStarts(), 0);
    }

    /**
     * Lists the state of the only engine (usable, not usable or none), the allowed region, whether
     * the region south offers capacity, whether the request was forwarded here, and the decision.
     */
    @DataProvider
    public Object[][] placements() {
        return new Object[][] {
            {"usable", "", true, false, "Start after 0 ms"},
            {"usable", "south", true, false, "Forward after 0 ms"},
            {"usable", "south", false, false, "NO_ENDPOINT after 0 ms"},
            {"usable", "south", true, true, "NO_ENDPOINT after 0 ms"},
            {"cold", "", true, false, "Forward after 0 ms"},
            {"cold", "", false, false, "NO_ROOM_IN_TIME after 400 ms"},
            {"cold", "north", true, false, "NO_ROOM_IN_TIME after 400 ms"},
            {"cold", "", true, true, "NO_ROOM_IN_TIME after 200 ms"},
            {"none", "", true, false, "Forward after 0 ms"},
            {"none", "", false, false, "NO_ENDPOINT after 0 ms"},
        };
    }

    /**
     * Guards against requests that run in a region that is not allowed, are forwarded twice, or are
     * refused although a cold engine may become usable. The request may wait for 400 ms.
     */
    @Test(dataProvider = "placements")
    public void requestsLeaveOnlyForAllowedRegions(
            String engine, String allowed, boolean offer, boolean forwarded, String expected) {
        SpareRoom spareRoom = new SpareRoom(NORTH, List.of(RegionId.of("south")), 30);
        RegionScheduler scheduler = scheduler(engine.equals("none") ? 0 : 1, 50_000, spareRoom);
        if (engine.equals("cold")) {
            scheduler.setEngines(
                    List.of(new EngineDescription(engine(0), 24, 50_000, false, false)), 0);
        }
        spareRoom.recordOffer(RegionId.of("south"), offer ? 1e6 : 0, offer ? 100 : 0, 0);
        PromptDemand prompt = SimulatedRegion.prompt("", 2_000, 10);
        AllowedRegions regions =
                allowed.isEmpty()
                        ? AllowedRegions.any()
                        : AllowedRegions.only(Set.of(RegionId.of(allowed)));
        scheduler.submit(request(1, prompt, Set.of(), regions, forwarded, 400), 100);
        List<StartDecision> decisions = List.of();
        long nowMs = 95;
        while (decisions.isEmpty()) {
            nowMs += StartPass.INTERVAL_MS;
            decisions = scheduler.decide(nowMs);
        }
        String kind =
                decisions.get(0) instanceof StartDecision.Refuse refuse
                        ? refuse.reason().name()
                        : decisions.get(0).getClass().getSimpleName();
        assertEquals(kind + " after " + (nowMs - 100) + " ms", expected);
    }

    private static RegionScheduler scheduler(int engines, long memoryTokens, SpareRoom spareRoom) {
        RegionScheduler scheduler = new RegionScheduler(ServiceId.of("chat"), NORTH, spareRoom);
        List<EngineDescription> descriptions = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            descriptions.add(new EngineDescription(engine(i), 24, memoryTokens, true, false));
        }
        scheduler.setEngines(descriptions, 0);
        return scheduler;
    }

    private static EndpointId engine(int number) {
        return EndpointId.of("engine-" + number);
    }

    private static StartRequest request(int number, PromptDemand prompt, Set<EndpointId> excluded) {
        return request(number, prompt, excluded, AllowedRegions.any(), false, 60_000);
    }

    private static StartRequest request(
            int number,
            PromptDemand prompt,
            Set<EndpointId> excluded,
            AllowedRegions regions,
            boolean forwarded,
            long waitLimitMs) {
        StartId id = new StartId(InstanceId.of("sender"), number);
        AccountId account = AccountId.of("account-" + number % 50);
        int rank = number % 6;
        return new StartRequest(
                id,
                account,
                rank,
                prompt,
                regions,
                excluded,
                forwarded,
                0,
                2_000,
                waitLimitMs,
                60_000,
                number);
    }
}
