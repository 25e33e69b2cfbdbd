package org.filbertrudder.policy.limits;

import static org.testng.Assert.assertEquals;

import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.policy.limits.SendSlots.Reservation;
import org.testng.annotations.Test;

/** Tests the schedule of requests to endpoints with a limit. */
public class SendSlotsTest {

    private static final EndpointId ENDPOINT = EndpointId.of("i-1");

    private static final InstanceId FIRST = InstanceId.of("edge-1");
    private static final InstanceId SECOND = InstanceId.of("edge-2");
    private static final InstanceId THIRD = InstanceId.of("edge-3");

    private final SendSlots mSlots = new SendSlots();

    private Reservation reserve(double perSecond, int wanted, long nowMs) {
        return mSlots.reserve(ENDPOINT, FIRST, perSecond, wanted, nowMs);
    }

    @Test
    public void slotsAreTheReciprocalOfTheLimitApart() {
        SendSlots slots = new SendSlots();
        assertEquals(slots.reserve(ENDPOINT, FIRST, 2, 1, 0), new Reservation(1, 1_000));
        assertEquals(slots.reserve(ENDPOINT, FIRST, 2, 1, 700), new Reservation(1, 800));
        assertEquals(slots.reserve(ENDPOINT, FIRST, 2, 1, 1_000), new Reservation(1, 1_000));
        assertEquals(slots.reserve(ENDPOINT, FIRST, 2, 1, 1_100), new Reservation(0, 1_400));
    }

    @Test
    public void unusedSlotsAreNotMadeUpFor() {
        SendSlots slots = new SendSlots();
        slots.reserve(ENDPOINT, FIRST, 10, 1, 0);
        assertEquals(slots.reserve(ENDPOINT, FIRST, 10, 100, 50_000), new Reservation(2, 0));
        assertEquals(slots.reserve(ENDPOINT, FIRST, 10, 1, 50_000), new Reservation(1, 200));
    }

    @Test
    public void aLimitOfZeroStillAllowsSomeRequests() {
        SendSlots slots = new SendSlots();
        assertEquals(slots.reserve(ENDPOINT, FIRST, 0, 1, 0), new Reservation(1, 1_000));
        assertEquals(slots.reserve(ENDPOINT, FIRST, 0, 1, 1_000), new Reservation(0, 5_000));
    }

    @Test
    public void aChangedLimitAppliesAtOnce() {
        SendSlots slots = new SendSlots();
        slots.reserve(ENDPOINT, FIRST, 0.5, 1, 0);
        assertEquals(slots.reserve(ENDPOINT, FIRST, 0.5, 1, 1_000), new Reservation(0, 2_000));
        assertEquals(slots.reserve(ENDPOINT, FIRST, 4, 1, 1_000), new Reservation(1, 250));
        assertEquals(slots.reserve(ENDPOINT, FIRST, 1, 1, 1_250), new Reservation(1, 1_000));
    }

    @Test
    public void aSchedulerThatBecomesResponsibleAgainDelaysItsFirstSlot() {
        reserve(100, 1, 0);
        assertEquals(reserve(100, 1, 5_000), new Reservation(1, 0));
        mSlots.retainIf(endpoint -> false, 5_000);
        assertEquals(mSlots.size(), 0);
        assertEquals(reserve(100, 1, 5_100), new Reservation(1, 1_000));
    }

    @Test
    public void instancesTakeTurnsAndLearnWhenTheirTurnComes() {
        SendSlots slots = new SendSlots();
        assertEquals(slots.reserve(ENDPOINT, FIRST, 1, 1, 0), new Reservation(1, 1_000));
        assertEquals(slots.reserve(ENDPOINT, SECOND, 1, 1, 10), new Reservation(0, 1_990));
        assertEquals(slots.reserve(ENDPOINT, THIRD, 1, 1, 20), new Reservation(0, 2_980));
        assertEquals(slots.reserve(ENDPOINT, FIRST, 1, 1, 1_000), new Reservation(0, 3_000));
        assertEquals(slots.reserve(ENDPOINT, SECOND, 1, 1, 1_500), new Reservation(1, 500));
        assertEquals(slots.reserve(ENDPOINT, THIRD, 1, 1, 2_500), new Reservation(1, 500));
        assertEquals(slots.reserve(ENDPOINT, FIRST, 1, 1, 3_500), new Reservation(1, 500));
    }

    @Test
    public void anInstanceThatDoesNotAskAgainLosesItsPlace() {
        SendSlots slots = new SendSlots();
        slots.reserve(ENDPOINT, FIRST, 1, 1, 0);
        slots.reserve(ENDPOINT, SECOND, 1, 1, 0);
        assertEquals(slots.reserve(ENDPOINT, FIRST, 1, 1, 1_100), new Reservation(0, 1_900));
        assertEquals(slots.reserve(ENDPOINT, FIRST, 1, 1, 2_700), new Reservation(1, 0));
    }
}
