package org.filbertrudder.policy.scheduling;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.AllowedRegions;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.testng.annotations.Test;

/** Replays changes of the number of usable engines; each reads 40 tokens per ms. */
public class CapacityChangeTest {

    private static final RegionId NORTH = RegionId.of("north");
    private static final RegionId SOUTH = RegionId.of("south");
    private static final int PROMPT_TOKENS = 1_000;
    private static final int READING_MS = 25;

    private final SpareRoom mSpareRoom = new SpareRoom(NORTH, List.of(NORTH, SOUTH), 30);
    private RegionScheduler mScheduler;
    private Map<EndpointId, Deque<StartId>> mUnread;
    private Map<EndpointId, Long> mNextReadMs;
    private List<StartDecision> mDecisions;
    private int mNext;
    private long mNowMs;

    private void reset(int usable) {
        mScheduler = new RegionScheduler(ServiceId.of("chat"), NORTH, mSpareRoom);
        mUnread = new HashMap<>();
        mNextReadMs = new HashMap<>();
        mDecisions = new ArrayList<>();
        mNowMs = 1;
        setUsable(usable);
    }

    private void setUsable(int usable) {
        List<EngineDescription> engines = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            EndpointId id = EndpointId.of("engine-" + i);
            engines.add(new EngineDescription(id, 1_000, 1_000_000_000, i < usable, false));
        }
        mScheduler.setEngines(engines, mNowMs);
    }

    private void submit(long waitLimitMs) {
        mScheduler.submit(
                new StartRequest(
                        new StartId(InstanceId.of("instance-0"), mNext++),
                        AccountId.of("account"),
                        0,
                        SimulatedRegion.prompt("", PROMPT_TOKENS, 10),
                        AllowedRegions.any(),
                        Set.of(),
                        false,
                        0,
                        waitLimitMs,
                        waitLimitMs,
                        60_000,
                        mNext),
                mNowMs);
    }

    /** Runs for a while with a number of arrivals every 5 ms. */
    private void run(long durationMs, double arrivalsPerPass, long waitLimitMs) {
        double arrivals = 0;
        for (long endMs = mNowMs + durationMs; mNowMs < endMs; mNowMs += 5) {
            for (arrivals += arrivalsPerPass; arrivals >= 1; arrivals--) {
                submit(waitLimitMs);
            }
            read();
            for (StartDecision decision : mScheduler.decide(mNowMs)) {
                mDecisions.add(decision);
                if (decision instanceof StartDecision.Start start) {
                    Deque<StartId> unread =
                            mUnread.computeIfAbsent(start.endpoint(), id -> new ArrayDeque<>());
                    if (unread.isEmpty()) {
                        mNextReadMs.put(start.endpoint(), mNowMs + READING_MS);
                    }
                    unread.add(start.id());
                }
            }
        }
    }

    private void read() {
        mUnread.forEach(
                (engine, unread) -> {
                    while (!unread.isEmpty() && mNextReadMs.get(engine) <= mNowMs) {
                        mScheduler.begun(unread.peek(), mNowMs);
                        mScheduler.ended(unread.remove(), 10, mNowMs);
                        mNextReadMs.merge(engine, (long) READING_MS, Long::sum);
                    }
                });
    }

    private long refused() {
        return mDecisions.stream().filter(each -> each instanceof StartDecision.Refuse).count();
    }

    /**
     * Guards against refusals after a time without usable engines, when the measured drain rate is
     * near 0 although the engines could serve all waiting requests within a third of their limit.
     */
    @Test
    public void requestsThatWaitedWithoutEnginesStartWhenTheseReturn() {
        reset(10);
        run(3_000, 2.2, 2_000);
        run(1_000, 0, 2_000);
        mDecisions.clear();
        setUsable(0);
        submit(20_000);
        run(5_000, 0, 2_000);
        run(200, 7.5, 2_000);
        setUsable(10);
        run(1_000, 0, 2_000);
        assertEquals(refused(), 0);
    }

    /** Guards against forecasts for 2 engines that are used after 8 more have returned. */
    @Test
    public void returningEnginesShortenTheForecastAtOnce() {
        reset(2);
        run(3_000, 0.6, 800);
        mDecisions.clear();
        setUsable(10);
        for (int i = 0; i < 200; i++) {
            submit(800);
        }
        run(1_000, 0, 800);
        assertEquals(refused(), 0);
    }

    /**
     * Guards against requests that wait although the region cannot start them, and are refused at
     * their limit, because their forecast is not above it.
     */
    @Test
    public void aRequestWithAShortLimitLeavesARegionWithoutUsableEngines() {
        reset(0);
        mSpareRoom.recordOffer(SOUTH, 1_000_000, 1_000, mNowMs);
        mNowMs += 250;
        submit(150);
        run(200, 0, 150);
        assertEquals(mDecisions.size(), 1);
        assertTrue(mDecisions.get(0) instanceof StartDecision.Forward, mDecisions.toString());
    }
}
