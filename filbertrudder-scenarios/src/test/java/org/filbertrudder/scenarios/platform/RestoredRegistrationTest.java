package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.filbertrudder.standins.platform.KvStoreStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that the registrations of instances and others survive a store that issues leases again.
 */
public class RestoredRegistrationTest {

    private static final String INSTANCES = "filbertrudder/instances/";
    private static final String OTHERS_KEY = "filbertrudder/other";
    private static final long LEASE_MS = 60_000;

    private PlatformFleet mFleet;
    private KvStoreStandIn mStore;

    @BeforeMethod
    public void startFleet() {
        mFleet = new PlatformFleet("mtl");
        mStore = mFleet.store();
        mFleet.writeConfiguration(true);
        mFleet.startGateway("mtl-1", "mtl");
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
    }

    private void awaitRegistered(String... instances) {
        List<String> keys = List.of(instances).stream().map(id -> INSTANCES + id).toList();
        PlatformFleet.await(
                "the registered instances are " + keys, () -> mStore.keys(INSTANCES).equals(keys));
    }

    /** Registers an instance after a copy of the store, and gives its lease to another. */
    private void loseRegistrationOf(String instance) {
        KvStoreStandIn.Copy copy = mStore.copy();
        mFleet.startGateway(instance, "mtl");
        awaitRegistered("mtl-1", instance);
        mStore.restore(copy);
        mStore.putWithLease(OTHERS_KEY, LEASE_MS);
        mStore.writeAgain();
    }

    @Test
    public void instanceThatRenewsTheLeaseOfAnotherIsNotRegistered() {
        awaitRegistered("mtl-1");

        loseRegistrationOf("mtl-2");

        awaitRegistered("mtl-1", "mtl-2");
    }

    @Test
    public void stoppingInstanceEndsTheLeaseOfAnother() {
        awaitRegistered("mtl-1");
        KvStoreStandIn.Copy copy = mStore.copy();
        mFleet.startGateway("mtl-2", "mtl");
        awaitRegistered("mtl-1", "mtl-2");
        mStore.setMode(KvStoreStandIn.Mode.REJECTING);
        mStore.restore(copy);
        mStore.putWithLease(OTHERS_KEY, LEASE_MS);
        mStore.writeAgain();
        // The instance stops before it has registered again.
        mStore.setMode(KvStoreStandIn.Mode.SERVING);
        mFleet.stopGateway("mtl-2").join();

        assertEquals(mStore.keys(OTHERS_KEY), List.of(OTHERS_KEY));
    }

    @Test
    public void stoppingInstanceRemovesItsRegistration() {
        awaitRegistered("mtl-1");
        mFleet.startGateway("mtl-2", "mtl");
        awaitRegistered("mtl-1", "mtl-2");

        mFleet.stopGateway("mtl-2").join();

        awaitRegistered("mtl-1");
    }
}
