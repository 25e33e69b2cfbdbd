package org.filbertrudder.policy.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.EndpointLoad;
import org.testng.annotations.Test;

/** Tests the sums of the load reports of several instances. */
public class EndpointLoadSumsTest {

    private static final InstanceId FIRST = InstanceId.of("one");
    private static final InstanceId SECOND = InstanceId.of("two");
    private static final EndpointId ENDPOINT = EndpointId.of("e");

    private static EndpointLoad load(int requests) {
        return new EndpointLoad(ENDPOINT, requests, 10.0 * requests, 100L * requests);
    }

    @Test
    public void sumsTheNewestReportOfEachInstance() {
        EndpointLoadSums sums = new EndpointLoadSums();
        sums.storeReport(FIRST, List.of(load(9)), 0);
        sums.storeReport(FIRST, List.of(load(2)), 100);
        sums.storeReport(SECOND, List.of(load(3)), 100);

        assertEquals(sums.sumByEndpoint(200), Map.of(ENDPOINT, load(5)));
        assertEquals(sums.reporters(200), Set.of(FIRST, SECOND));
    }

    @Test
    public void dropsTheReportOfAnInstanceThatHasStoppedReporting() {
        EndpointLoadSums sums = new EndpointLoadSums();
        sums.storeReport(FIRST, List.of(load(9)), 0);
        sums.storeReport(SECOND, List.of(load(3)), 2_000);

        assertEquals(sums.sumByEndpoint(3_500), Map.of(ENDPOINT, load(3)));
        assertEquals(sums.reporters(3_500), Set.of(SECOND));
    }

    @Test
    public void subtractsTheLoadOfOneInstance() {
        assertEquals(EndpointLoadSums.loadOfOthers(load(5), load(2)), load(3));
        assertEquals(EndpointLoadSums.loadOfOthers(load(5), null), load(5));
        assertTrue(
                EndpointLoadSums.loadOfOthers(load(1), load(4)).requests() == 0,
                "The difference must not be negative.");
    }
}
