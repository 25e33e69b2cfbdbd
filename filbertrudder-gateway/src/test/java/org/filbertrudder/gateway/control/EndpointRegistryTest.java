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
import org.filbertrudder.model.StoreEra;
import org.filbertrudder.policy.freshness.RefreshSchedule;
import org.filbertrudder.policy.freshness.ReregistrationWindow;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which endpoints are usable, kept after an outage or warming up. */
public class EndpointRegistryTest {

    private static final long WARMUP_MS = 3_000;

    private ReregistrationWindow mWindow;
    private EndpointRegistry mRegistry;

    @BeforeMethod
    public void createRegistry() {
        mWindow = new ReregistrationWindow(RefreshSchedule.forBound(4_000), 1_200, 3_500);
        mRegistry = new EndpointRegistry(service -> WARMUP_MS, mWindow);
    }

    private static EndpointRegistration registration(
            String id, boolean leaving, long warmupMs, long startedMs) {
        return registration(id, leaving, warmupMs, startedMs, 1);
    }

    private static EndpointRegistration registration(
            String id, boolean leaving, long warmupMs, long startedMs, long sequence) {
        Endpoint endpoint =
                Endpoint.of(
                        EndpointId.of(id),
                        ServiceId.of("pool"),
                        RegionId.of("mtl"),
                        FailureDomainId.of("mtl-a"),
                        "10.0.0.1",
                        80,
                        8);
        return new EndpointRegistration(endpoint, leaving, warmupMs, startedMs, sequence);
    }

    private static Map<EndpointId, EndpointRegistration> registrations(
            EndpointRegistration... registrations) {
        Map<EndpointId, EndpointRegistration> found = new HashMap<>();
        for (EndpointRegistration registration : registrations) {
            found.put(registration.endpoint().id(), registration);
        }
        return found;
    }

    private boolean update(Map<EndpointId, EndpointRegistration> found, long nowMs) {
        mWindow.noteList(nowMs, 0, nowMs);
        return mRegistry.update(found, new StoreEra(1), nowMs);
    }

    private void failReads(long fromMs, long toMs) {
        for (long atMs = fromMs; atMs < toMs; atMs += 500) {
            mWindow.noteFailedRead(atMs);
        }
    }

    private boolean updateAfterRestore(Map<EndpointId, EndpointRegistration> found, long nowMs) {
        mWindow.noteList(nowMs, 0, nowMs);
        return mRegistry.update(found, new StoreEra(2), nowMs);
    }

    private EndpointAvailability singleAvailability() {
        List<EndpointAvailability> availabilities = mRegistry.availabilities();
        assertEquals(availabilities.size(), 1);
        return availabilities.get(0);
    }

    @Test
    public void removesUnregisteredEndpointAtOnce() {
        update(registrations(registration("e", false, 0, 1)), 0);
        update(registrations(), 1_000);

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
        update(registrations(registration("e", false, 0, 1)), 0);
        failReads(1_200, 10_000);
        update(registrations(), 10_000);
        update(registrations(), 10_000 + elapsedMs);

        assertEquals(!mRegistry.availabilities().isEmpty(), kept);
    }

    @Test
    public void removesMissingEndpointsAfterTimeToReregister() {
        update(registrations(registration("e", false, 0, 1)), 0);
        failReads(1_200, 10_000);
        update(registrations(), 10_000);

        assertFalse(mRegistry.expireMissing(12_000));
        mWindow.noteList(12_600, 0, 12_600);
        assertTrue(mRegistry.expireMissing(12_600));
        assertTrue(mRegistry.availabilities().isEmpty());
    }

    @Test
    public void pastOutageDoesNotDelayLaterRemoval() {
        update(registrations(registration("e", false, 0, 1)), 0);
        failReads(1_200, 10_000);
        update(registrations(registration("e", false, 0, 1)), 10_000);
        mWindow.noteList(13_000, 0, 13_000);

        update(registrations(), 14_200);

        assertTrue(mRegistry.availabilities().isEmpty());
    }

    @Test
    public void digestIgnoresRemainingWarmup() {
        update(registrations(registration("e", false, 2_000, 1)), 0);
        long cold = mRegistry.digest();
        update(registrations(registration("e", false, 1_000, 1)), 1_000);
        assertEquals(mRegistry.digest(), cold);

        update(registrations(registration("e", false, 0, 1)), 2_000);
        long warm = mRegistry.digest();
        update(registrations(registration("e", true, 0, 1)), 3_000);

        assertTrue(warm != cold && mRegistry.digest() != warm);
    }

    @Test
    public void leavingEndpointIsNotUsable() {
        update(registrations(registration("e", true, 0, 1)), 0);

        assertFalse(singleAvailability().usable());
    }

    @Test
    public void evacuatedEndpointIsNotUsableAndWarmsUpAfterwards() {
        update(registrations(registration("e", false, 0, 1)), 0);
        mRegistry.setEvacuated(Set.of(FailureDomainId.of("mtl-a")), 1_000);
        assertFalse(singleAvailability().usable());

        mRegistry.setEvacuated(Set.of(), 9_000);

        assertTrue(singleAvailability().usable());
        assertEquals(singleAvailability().coldUntilMs(), 9_000 + WARMUP_MS);
    }

    @Test
    public void firstReadTrustsRegisteredWarmup() {
        update(registrations(registration("e", false, 0, 1)), 5_000);

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
        update(registrations(registration("e", false, 0, 1)), 0);
        update(registrations(later), 10_000);

        assertEquals(singleAvailability().coldUntilMs(), coldUntilMs);
    }

    @Test
    public void newEndpointWarmsUp() {
        update(registrations(), 0);
        update(registrations(registration("e", false, 0, 1)), 10_000);

        assertEquals(singleAvailability().coldUntilMs(), 10_000 + WARMUP_MS);
    }

    @Test
    public void updateReturnsWhetherEndpointsChanged() {
        assertTrue(update(registrations(registration("e", false, 0, 1)), 0));
        assertFalse(update(registrations(registration("e", false, 0, 1)), 1_000));
        assertTrue(update(registrations(registration("e", true, 0, 1)), 2_000));
    }

    @Test
    public void leavingEndpointIsReadyAgainAfterTheStoreReturnsFromACopy() {
        update(registrations(registration("e", false, 0, 1, 1)), 0);
        update(registrations(registration("e", true, 0, 1, 2)), 1_000);
        updateAfterRestore(registrations(registration("e", false, 0, 1, 1)), 2_000);

        assertFalse(singleAvailability().usable());

        updateAfterRestore(registrations(registration("e", false, 0, 1, 3)), 3_000);
        assertTrue(singleAvailability().usable(), "a newer registration counts");
    }

    @Test
    public void departedEndpointIsBackAfterTheStoreReturnsFromACopy() {
        update(registrations(registration("e", false, 0, 1, 5)), 0);
        update(registrations(), 1_000);
        updateAfterRestore(registrations(registration("e", false, 0, 1, 5)), 2_000);

        assertTrue(mRegistry.availabilities().isEmpty());

        updateAfterRestore(registrations(registration("e", false, 0, 1, 6)), 3_000);
        assertTrue(singleAvailability().usable(), "it has registered again");
    }

    /** Lists when a list of the new era is read, and whether a missing endpoint is kept then. */
    @DataProvider
    public Object[][] timesAfterRestore() {
        return new Object[][] {{2_000, true}, {4_000, true}, {5_000, false}};
    }

    @Test(dataProvider = "timesAfterRestore")
    public void endpointThatTheCopyLacksIsLostBeforeItRegistersAgain(long atMs, boolean kept) {
        update(registrations(registration("e", false, 0, 1)), 0);
        updateAfterRestore(registrations(), 2_000);
        updateAfterRestore(registrations(), atMs);

        assertEquals(mRegistry.availabilities().size(), kept ? 1 : 0);
    }

    @Test
    public void restartedEndpointIsReplacedByItsEarlierStart() {
        update(registrations(registration("e", false, 0, 100, 9)), 0);
        update(registrations(registration("e", false, 0, 200, 1)), 1_000);
        updateAfterRestore(registrations(registration("e", false, 0, 100, 9)), 2_000);

        assertEquals(singleAvailability().startedMs(), 200);
    }

    @Test
    public void olderRegistrationOfTheSameEraCounts() {
        update(registrations(registration("e", true, 0, 200, 9)), 0);
        update(registrations(registration("e", false, 0, 100, 1)), 1_000);

        assertTrue(singleAvailability().usable(), "the clock of the endpoint may have been set");
    }
}
