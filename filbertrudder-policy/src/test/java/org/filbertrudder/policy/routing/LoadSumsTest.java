package org.filbertrudder.policy.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.message.PeerMessage.EndpointLoad;
import org.testng.annotations.Test;

/** Tests the sums of what instances have running. */
public class LoadSumsTest {

    private static final InstanceId ONE = InstanceId.of("one");
    private static final InstanceId TWO = InstanceId.of("two");
    private static final EndpointId ENGINE = EndpointId.of("e");

    private static EndpointLoad load(int requests) {
        return new EndpointLoad(ENGINE, requests, 10.0 * requests, 100L * requests);
    }

    @Test
    public void sumsTheNewestReportOfEachInstance() {
        LoadSums sums = new LoadSums();
        sums.report(ONE, List.of(load(9)), 0);
        sums.report(ONE, List.of(load(2)), 100);
        sums.report(TWO, List.of(load(3)), 100);

        assertEquals(sums.sum(200), Map.of(ENGINE, load(5)));
        assertEquals(sums.reporters(200), Set.of(ONE, TWO));
    }

    @Test
    public void forgetsAnInstanceThatHasFallenSilent() {
        LoadSums sums = new LoadSums();
        sums.report(ONE, List.of(load(9)), 0);
        sums.report(TWO, List.of(load(3)), 2_000);

        assertEquals(sums.sum(3_500), Map.of(ENGINE, load(3)));
        assertEquals(sums.reporters(3_500), Set.of(TWO));
    }

    @Test
    public void whatOthersHaveIsTheSumWithoutTheOwnPart() {
        assertEquals(LoadSums.without(load(5), load(2)), load(3));
        assertEquals(LoadSums.without(load(5), null), load(5));
        assertTrue(LoadSums.without(load(1), load(4)).requests() == 0, "Never below nothing.");
    }
}
