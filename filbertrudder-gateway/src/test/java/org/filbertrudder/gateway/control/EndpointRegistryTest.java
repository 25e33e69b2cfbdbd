package org.filbertrudder.gateway.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.gateway.config.EndpointEntry;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which endpoints may be used. */
public class EndpointRegistryTest {

    private static final long WARMUP_MS = 3_000;

    private EndpointRegistry mRegistry;

    @BeforeMethod
    public void createRegistry() {
        mRegistry = new EndpointRegistry(service -> WARMUP_MS);
    }

    private static EndpointEntry entry(String id, boolean leaving, long warmupMs, long startedMs) {
        Endpoint endpoint =
                Endpoint.of(
                        EndpointId.of(id),
                        ServiceId.of("pool"),
                        RegionId.of("mtl"),
                        FailureDomainId.of("mtl-a"),
                        "10.0.0.1",
                        80,
                        8);
        return new EndpointEntry(endpoint, leaving, warmupMs, startedMs);
    }

    private static Map<EndpointId, EndpointEntry> entries(EndpointEntry... entries) {
        Map<EndpointId, EndpointEntry> found = new HashMap<>();
        for (EndpointEntry entry : entries) {
            found.put(entry.endpoint().id(), entry);
        }
        return found;
    }

    private EndpointView only() {
        List<EndpointView> views = mRegistry.views();
        assertEquals(views.size(), 1);
        return views.get(0);
    }

    @Test
    public void anEndpointWhoseEntryIsGoneIsForgottenAtOnce() {
        mRegistry.update(entries(entry("e", false, 0, 1)), 0);
        mRegistry.update(entries(), 1_000);

        assertTrue(mRegistry.views().isEmpty());
    }

    /** Lists the time since the store is back, and whether a missing endpoint is still used. */
    @DataProvider
    public Object[][] timesAfterOutage() {
        return new Object[][] {{0, true}, {2_000, true}, {3_000, false}};
    }

    @Test(dataProvider = "timesAfterOutage")
    public void afterAnOutageAMissingEndpointHasTimeToRegister(long laterMs, boolean kept) {
        mRegistry.update(entries(entry("e", false, 0, 1)), 0);
        mRegistry.noteOutage();
        mRegistry.update(entries(), 10_000);
        mRegistry.update(entries(), 10_000 + laterMs);

        assertEquals(!mRegistry.views().isEmpty(), kept);
    }

    @Test
    public void aConfirmedReadingForgetsMissingEndpointsOnceTheyHaveHadTheirTime() {
        mRegistry.update(entries(entry("e", false, 0, 1)), 0);
        mRegistry.noteOutage();
        mRegistry.update(entries(), 10_000);

        assertFalse(mRegistry.confirm(12_000));
        assertTrue(mRegistry.confirm(12_600));
        assertTrue(mRegistry.views().isEmpty());
    }

    @Test
    public void anOutageThatIsOverDoesNotDelayTheNextRemoval() {
        mRegistry.update(entries(entry("e", false, 0, 1)), 0);
        mRegistry.noteOutage();
        mRegistry.confirm(10_000);
        mRegistry.noteOthersOutage(10_500);
        mRegistry.noteOthersOutage(12_000);

        mRegistry.update(entries(), 20_000);

        assertTrue(mRegistry.views().isEmpty());
    }

    @Test
    public void theDigestFollowsWhatMattersAndNotTheRestOfAWarmup() {
        mRegistry.update(entries(entry("e", false, 2_000, 1)), 0);
        long cold = mRegistry.digest();
        mRegistry.update(entries(entry("e", false, 1_000, 1)), 1_000);
        assertEquals(mRegistry.digest(), cold);

        mRegistry.update(entries(entry("e", false, 0, 1)), 2_000);
        long warm = mRegistry.digest();
        mRegistry.update(entries(entry("e", true, 0, 1)), 3_000);

        assertTrue(warm != cold && mRegistry.digest() != warm);
    }

    @Test
    public void aLeavingEndpointIsNotUsable() {
        mRegistry.update(entries(entry("e", true, 0, 1)), 0);

        assertFalse(only().usable());
    }

    @Test
    public void anEvacuatedEndpointIsNotUsableAndComesBackCold() {
        mRegistry.update(entries(entry("e", false, 0, 1)), 0);
        mRegistry.setEvacuated(Set.of(FailureDomainId.of("mtl-a")), 1_000);
        assertFalse(only().usable());

        mRegistry.setEvacuated(Set.of(), 9_000);

        assertTrue(only().usable());
        assertEquals(only().coldUntilMs(), 9_000 + WARMUP_MS);
    }

    @Test
    public void endpointsThatWereThereBeforeThisInstanceAreAsWarmAsTheySay() {
        mRegistry.update(entries(entry("e", false, 0, 1)), 5_000);

        assertTrue(only().coldUntilMs() < 5_000);
    }

    /** Lists the second reading of an endpoint and until when it counts as cold. */
    @DataProvider
    public Object[][] laterEntries() {
        return new Object[][] {
            // Nothing has changed.
            {entry("e", false, 0, 1), Long.MIN_VALUE},
            // It tells that it is cold again.
            {entry("e", false, 500, 1), 10_500L},
            // It has started again under the same id.
            {entry("e", false, 0, 2), 10_000 + WARMUP_MS},
        };
    }

    @Test(dataProvider = "laterEntries")
    public void noticesEndpointsThatBecomeCold(EndpointEntry later, long coldUntilMs) {
        mRegistry.update(entries(entry("e", false, 0, 1)), 0);
        mRegistry.update(entries(later), 10_000);

        assertEquals(only().coldUntilMs(), coldUntilMs);
    }

    @Test
    public void aNewEndpointIsCold() {
        mRegistry.update(entries(), 0);
        mRegistry.update(entries(entry("e", false, 0, 1)), 10_000);

        assertEquals(only().coldUntilMs(), 10_000 + WARMUP_MS);
    }

    @Test
    public void tellsWhetherAnythingHasChanged() {
        assertTrue(mRegistry.update(entries(entry("e", false, 0, 1)), 0));
        assertFalse(mRegistry.update(entries(entry("e", false, 0, 1)), 1_000));
        assertTrue(mRegistry.update(entries(entry("e", true, 0, 1)), 2_000));
    }
}
