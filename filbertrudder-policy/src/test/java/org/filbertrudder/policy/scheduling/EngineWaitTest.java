package org.filbertrudder.policy.scheduling;

import static org.testng.Assert.assertEquals;

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
import org.filbertrudder.policy.routing.PromptPart;
import org.testng.annotations.Test;

/** Tests the requests that wait for the engine that has read their shared parts. */
public class EngineWaitTest {

    private static final RegionId NORTH = RegionId.of("north");
    private static final int PARTS = 150;
    private static final long GOAL_MS = 10_000;

    private final RegionScheduler mScheduler =
            new RegionScheduler(
                    ServiceId.of("chat"), NORTH, new SpareRoom(NORTH, List.of(NORTH), 30));
    private int mNext;
    private long mNowMs = 1;

    private void setUsable(int usable) {
        List<EngineDescription> engines = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            EndpointId id = EndpointId.of("engine-" + i);
            engines.add(new EngineDescription(id, 1_000, 1_000_000_000, i < usable, false));
        }
        mScheduler.setEngines(engines, mNowMs);
    }

    private StartId submit(String part, long sharedTokens, long ownTokens) {
        PromptDemand prompt =
                new PromptDemand(
                        List.of(
                                new PromptPart(part, sharedTokens),
                                new PromptPart(part + "/own", ownTokens)),
                        sharedTokens + ownTokens,
                        10);
        StartId id = new StartId(InstanceId.of("instance-0"), mNext++);
        mScheduler.submit(
                new StartRequest(
                        id,
                        AccountId.of("account"),
                        0,
                        prompt,
                        AllowedRegions.any(),
                        Set.of(),
                        false,
                        0,
                        GOAL_MS,
                        GOAL_MS,
                        60_000,
                        id.number()),
                mNowMs);
        return id;
    }

    /**
     * Guards against requests that find 9 of 10 engines idle and do not start, because more than 64
     * older requests wait for the engine that has read their shared parts.
     */
    @Test
    public void requestsThatWaitForABusyEngineDoNotBlockOthers() {
        setUsable(1);
        for (int i = 0; i < PARTS; i++) {
            StartId id = submit("part-" + i, 8_000, 200);
            mScheduler.decide(mNowMs);
            mNowMs += 300;
            mScheduler.begun(id, mNowMs);
            mScheduler.ended(id, 10, mNowMs);
        }
        setUsable(10);
        for (int i = 0; i < PARTS; i++) {
            submit("part-" + i, 8_000, 200);
        }
        mScheduler.decide(mNowMs);
        int firstOther = mNext;
        for (int i = 0; i < 20; i++) {
            submit("", 0, 500);
        }
        int started = 0;
        for (int pass = 0; pass < 4; pass++) {
            mNowMs += 5;
            for (StartDecision decision : mScheduler.decide(mNowMs)) {
                started += decision.id().number() >= firstOther ? 1 : 0;
            }
        }
        assertEquals(started, 20);
    }
}
