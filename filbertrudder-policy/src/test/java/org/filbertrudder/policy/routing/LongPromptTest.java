package org.filbertrudder.policy.routing;

import static org.testng.Assert.assertTrue;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.policy.VirtualSchedule;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests on a virtual clock that a long prompt waits only for a bounded time for an engine whose
 * running streams lack time, while short prompts keep the engine at its limit.
 */
public class LongPromptTest {

    private static final ServiceId SERVICE = ServiceId.of("pool");
    private static final RegionId REGION = RegionId.of("mtl");
    private static final long START_MS = 100_000;
    private static final long ALLOWED_WAIT_MS = 1_200;
    private static final double MAX_WAITED_SHARE = 0.97;
    private static final long SHORT_TOKENS = 500;
    private static final double TOKENS_PER_MS = 55;
    private static final long REPORT_INTERVAL_MS = 250;
    private static final double MISSING_MS = 2_000;

    private final VirtualSchedule mSchedule = new VirtualSchedule();
    private final Map<PromptDemand, Long> mWaiting = new LinkedHashMap<>();
    private EndpointTable mTable;
    private EndpointState mEngine;
    private double mReadingUntilMs;
    private int mShortPromptsStarted;
    private long mLongPromptStartedMs;

    @DataProvider
    private static Object[][] lengths() {
        return new Object[][] {{1_400}, {3_000}, {8_000}, {40_000}};
    }

    @Test(dataProvider = "lengths")
    public void aLongPromptIsAcceptedBeforeItsWaitingTimeEnds(int tokens) {
        createEngine();
        PromptDemand longPrompt = prompt("long", tokens);
        for (long atMs = START_MS; atMs <= START_MS + ALLOWED_WAIT_MS; atMs++) {
            long sinceStartMs = atMs - START_MS;
            mSchedule.add(atMs, () -> pump(longPrompt, sinceStartMs));
        }
        mSchedule.run(START_MS + ALLOWED_WAIT_MS);

        long waitedMs = mLongPromptStartedMs - START_MS;
        assertTrue(mShortPromptsStarted > 50, mShortPromptsStarted + " short prompts");
        assertTrue(
                mLongPromptStartedMs > 0 && waitedMs <= MAX_WAITED_SHARE * ALLOWED_WAIT_MS,
                "accepted after " + waitedMs + " ms");
    }

    private void createEngine() {
        EndpointId id = EndpointId.of("e");
        FailureDomainId domain = FailureDomainId.of("mtl-a");
        mTable = new EndpointTable();
        mTable.setEndpoints(
                List.of(Endpoint.of(id, SERVICE, REGION, domain, "127.0.0.1", 1, 64)), 0);
        mEngine = mTable.findById(id).orElseThrow();
        mEngine.setEngineMemory(400_000);
        mWaiting.clear();
        mReadingUntilMs = 0;
        mShortPromptsStarted = 0;
        mLongPromptStartedMs = 0;
    }

    /** Offers the waiting prompts in the order of their arrival; more come than can be read. */
    private void pump(PromptDemand longPrompt, long sinceStartMs) {
        long nowMs = mSchedule.nowMs();
        if (sinceStartMs % REPORT_INTERVAL_MS == 0) {
            mEngine.recordLoadOfOthers(10, 0, 10_000, MISSING_MS, nowMs);
        }
        if (sinceStartMs % 5 == 0) {
            mWaiting.put(prompt("short-" + nowMs, SHORT_TOKENS), nowMs);
        }
        if (sinceStartMs == 100) {
            mWaiting.put(longPrompt, START_MS);
        }
        mWaiting.values().removeIf(arrivedMs -> nowMs - arrivedMs > ALLOWED_WAIT_MS);
        for (Iterator<Map.Entry<PromptDemand, Long>> entries = mWaiting.entrySet().iterator();
                entries.hasNext(); ) {
            Map.Entry<PromptDemand, Long> entry = entries.next();
            if (choose(entry.getKey(), entry.getValue()) instanceof Route.Local) {
                entries.remove();
                start(entry.getKey());
                mLongPromptStartedMs = entry.getKey() == longPrompt ? nowMs : mLongPromptStartedMs;
                mShortPromptsStarted += entry.getKey() == longPrompt ? 0 : 1;
            }
        }
    }

    private Route choose(PromptDemand prompt, long arrivedMs) {
        long nowMs = mSchedule.nowMs();
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
                        Optional.of(prompt),
                        10_000,
                        (double) (nowMs - arrivedMs) / ALLOWED_WAIT_MS);
        return new Router(REGION, mTable, region -> true)
                .choose(request, new SingleRegion(REGION), 0, nowMs);
    }

    private void start(PromptDemand prompt) {
        long nowMs = mSchedule.nowMs();
        PromptLoad load = mEngine.addPromptLoad(prompt, nowMs);
        mReadingUntilMs = Math.max(nowMs, mReadingUntilMs) + prompt.promptTokens() / TOKENS_PER_MS;
        mSchedule.add((long) Math.ceil(mReadingUntilMs), load::release);
    }

    private static PromptDemand prompt(String id, long tokens) {
        return new PromptDemand(List.of(new PromptPart(id, tokens)), tokens, 20);
    }
}
