package org.filbertrudder.gateway.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.gateway.config.EndpointRegistration;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which endpoints are usable, kept after an outage or warming up. */
public class EndpointRegistryTest {

    private static final long WARMUP_MS = 3_000;

    private EndpointRegistry mRegistry;

    @BeforeMethod
    public void createRegistry() {
        mRegistry = new EndpointRegistry(service -> WARMUP_MS);
    }

    private static EndpointRegistration registration(
            String id, boolean leaving, long warmupMs, long startedMs) {
        Endpoint endpoint =
                Endpoint.of(
                        EndpointId.of(id),
                        ServiceId.of("pool"),
                        RegionId.of("mtl"),
                        FailureDomainId.of("mtl-a"),
                        "10.0.0.1",
                        80,
                        8);
        return new EndpointRegistration(endpoint, leaving, warmupMs, startedMs);
    }

    private static Map<EndpointId, EndpointRegistration> registrations(
            EndpointRegistration... registrations) {
        Map<EndpointId, EndpointRegistration> found = new HashMap<>();
        for (EndpointRegistration registration : registrations) {
            found.put(registration.endpoint().id(), registration);
        }
        return found;
    }

    private EndpointAvailability singleAvailability() {
        List<EndpointAvailability> availabilities = mRegistry.availabilities();
        assertEquals(availabilities.size(), 1);
        return availabilities.get(0);
    }

    @Test
    public void removesUnregisteredEndpointAtOnce() {
        mRegistry.update(registrations(registration("e", false, 0, 1)), 0);
        mRegistry.update(registrations(), 1_000);

        assertTrue(mRegistry.availabilities().isEmpty());
    }

    /**
     * Provides the time since the end of a store outage, and whether a missing endpoint is kept.
     */
    @DataProvider
    public Object[][] timesAfterOutage() {
        return new Object[][] {{0, true}, {2_000, true}, {3_000, false}};
    }

    @Test(dataProvider = "timesAfterOutage")
    public void keepsMissingEndpointDuringReregistrationTimeAfterStoreOutage(
            long elapsedMs, boolean kept) {
        mRegistry.update(registrations(registration("e", false, 0, 1)), 0);
        mRegistry.noteOutage();
        mRegistry.update(registrations(), 10_000);
        mRegistry.update(registrations(), 10_000 + elapsedMs);

        assertEquals(!mRegistry.availabilities().isEmpty(), kept);
    }

    @Test
    public void confirmRemovesMissingEndpointsAfterTimeToReregister() {
        mRegistry.update(registrations(registration("e", false, 0, 1)), 0);
        mRegistry.noteOutage();
        mRegistry.update(registrations(), 10_000);

        assertFalse(mRegistry.confirm(12_000));
        assertTrue(mRegistry.confirm(12_600));
        assertTrue(mRegistry.availabilities().isEmpty());
    }

    @Test
    public void pastOutageDoesNotDelayLaterRemoval() {
        mRegistry.update(registrations(registration("e", false, 0, 1)), 0);
        mRegistry.noteOutage();
        mRegistry.confirm(10_000);
        mRegistry.notePeerOutage(10_500);
        mRegistry.notePeerOutage(12_000);

        mRegistry.update(registrations(), 20_000);

        assertTrue(mRegistry.availabilities().isEmpty());
    }

    @Test
    public void digestIgnoresRemainingWarmup() {
        mRegistry.update(registrations(registration("e", false, 2_000, 1)), 0);
        long cold = mRegistry.digest();
        mRegistry.update(registrations(registration("e", false, 1_000, 1)), 1_000);
        assertEquals(mRegistry.digest(), cold);

        mRegistry.update(registrations(registration("e", false, 0, 1)), 2_000);
        long warm = mRegistry.digest();
        mRegistry.update(registrations(registration("e", true, 0, 1)), 3_000);

        assertTrue(warm != cold && mRegistry.digest() != warm);
    }

    @Test
    public void leavingEndpointIsNotUsable() {
        mRegistry.update(registrations(registration("e", true, 0, 1)), 0);

        assertFalse(singleAvailability().usable());
    }

    @Test
    public void evacuatedEndpointIsNotUsableAndWarmsUpAfterwards() {
        mRegistry.update(registrations(registration("e", false, 0, 1)), 0);
        mRegistry.setEvacuated(Set.of(FailureDomainId.of("mtl-a")), 1_000);
        assertFalse(singleAvailability().usable());

        mRegistry.setEvacuated(Set.of(), 9_000);

        assertTrue(singleAvailability().usable());
        assertEquals(singleAvailability().coldUntilMs(), 9_000 + WARMUP_MS);
    }

    @Test
    public void firstReadTrustsRegisteredWarmup() {
        mRegistry.update(registrations(registration("e", false, 0, 1)), 5_000);

        assertTrue(singleAvailability().coldUntilMs() < 5_000);
    }

    /** Provides the second registration of an endpoint, and the expected end of its warm-up. */
    @DataProvider
    public Object[][] laterRegistrations() {
        return new Object[][] {
            // Unchanged registration.
            {registration("e", false, 0, 1), Long.MIN_VALUE},
            // Registers a new warm-up time.
            {registration("e", false, 500, 1), 10_500L},
            // Restarted under the same id.
            {registration("e", false, 0, 2), 10_000 + WARMUP_MS},
        };
    }

    @Test(dataProvider = "laterRegistrations")
    public void detectsEndpointsThatBecomeCold(EndpointRegistration later, long coldUntilMs) {
        mRegistry.update(registrations(registration("e", false, 0, 1)), 0);
        mRegistry.update(registrations(later), 10_000);

        assertEquals(singleAvailability().coldUntilMs(), coldUntilMs);
    }

    @Test
    public void newEndpointWarmsUp() {
        mRegistry.update(registrations(), 0);
        mRegistry.update(registrations(registration("e", false, 0, 1)), 10_000);

        assertEquals(singleAvailability().coldUntilMs(), 10_000 + WARMUP_MS);
    }

    @Test
    public void updateReturnsWhetherEndpointsChanged() {
        assertTrue(mRegistry.update(registrations(registration("e", false, 0, 1)), 0));
        assertFalse(mRegistry.update(registrations(registration("e", false, 0, 1)), 1_000));
        assertTrue(mRegistry.update(registrations(registration("e", true, 0, 1)), 2_000));
    }
}
