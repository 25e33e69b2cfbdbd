package org.filbertrudder.policy.freshness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests in seeded schedules how long endpoints are used that leave or whose entries expire. */
public class EndpointListBoundTest {

    /** The number of schedules of each size; a system property for longer runs by hand. */
    private static final long SCHEDULES = Long.getLong("endpoints.schedules", 300);

    /** Lists the number of instances in the failure domain. */
    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{2}, {3}, {6}, {20}};
    }

    /** Guards against the use of departed endpoints while the relay is cut from the store. */
    @Test(dataProvider = "sizes")
    public void endpointsAreUsedUntilTheyLeaveAndNoLonger(int instances) {
        List<String> violations = new ArrayList<>();
        int kept = 0;
        for (long seed = 1; seed <= SCHEDULES && violations.size() < 5; seed++) {
            EndpointListSimulation simulation = new EndpointListSimulation(seed, instances);
            for (String each : simulation.run()) {
                violations.add("seed " + seed + " " + each);
            }
            kept += simulation.kept();
        }

        assertEquals(String.join("; ", violations), "");
        assertTrue(kept > SCHEDULES, "expired registrations occur: " + kept);
    }
}
