package org.filbertrudder.policy.freshness;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the bounds on the operators' state in seeded schedules of several instances. */
public class OperatorStateBoundTest {

    /** The number of schedules of each size; a system property for longer runs by hand. */
    private static final long SCHEDULES = Long.getLong("state.schedules", 300);

    /** Lists the number of instances. */
    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{1}, {2}, {3}, {6}, {12}};
    }

    @Test(dataProvider = "sizes")
    public void noInstanceGoesBackOrTrustsAnOlderState(int instances) {
        List<String> violations = new ArrayList<>();
        for (long seed = 1; seed <= SCHEDULES && violations.size() < 5; seed++) {
            for (String each : new RestoredFleetSimulation(seed, instances).run()) {
                violations.add("seed " + seed + " " + each);
            }
        }

        assertEquals(String.join("; ", violations), "");
    }
}
