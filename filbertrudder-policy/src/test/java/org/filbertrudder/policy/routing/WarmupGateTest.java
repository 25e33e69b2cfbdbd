package org.filbertrudder.policy.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the limit on requests to a cold endpoint. */
public class WarmupGateTest {

    /** Lists limits a second. */
    @DataProvider
    public Object[][] limits() {
        return new Object[][] {{0}, {1}, {2}, {5}};
    }

    @Test(dataProvider = "limits")
    public void noSecondHasMoreRequestsThanTheLimit(int perSecond) {
        WarmupGate gate = new WarmupGate();
        gate.setCold(10_000, perSecond);
        List<Long> startsMs = new ArrayList<>();
        for (long nowMs = 0; nowMs < 10_000; nowMs += 7) {
            if (gate.hasRoom(nowMs)) {
                gate.noteStart(nowMs);
                startsMs.add(nowMs);
            }
        }

        for (long startMs : startsMs) {
            long inSecond =
                    startsMs.stream()
                            .filter(each -> each >= startMs && each < startMs + 1_000)
                            .count();
            assertTrue(inSecond <= perSecond, inSecond + " requests from " + startMs);
        }
        assertEquals(startsMs.isEmpty(), perSecond == 0);
    }

    @Test
    public void aWarmEndpointHasNoLimit() {
        WarmupGate gate = new WarmupGate();
        gate.setCold(1_000, 1);
        gate.noteStart(990);

        assertTrue(gate.hasRoom(1_000));
    }
}
