package org.filbertrudder.policy.limits;

import static org.testng.Assert.assertEquals;

import org.filbertrudder.model.EndpointId;
import org.filbertrudder.policy.limits.SendSlots.Reservation;
import org.testng.annotations.Test;

/** Tests the schedule of requests to endpoints with a limit. */
public class SendSlotsTest {

    private static final EndpointId ENDPOINT = EndpointId.of("i-1");

    private final SendSlots mSlots = new SendSlots();

    private Reservation reserve(double perSecond, int wanted, long nowMs) {
        return mSlots.reserve(ENDPOINT, perSecond, wanted, nowMs);
    }

    @Test
    public void slotsAreTheReciprocalOfTheLimitApart() {
        SendSlots slots = new SendSlots();
        assertEquals(slots.reserve(ENDPOINT, 2, 1, 0), new Reservation(1, 1_000));
        assertEquals(slots.reserve(ENDPOINT, 2, 1, 700), new Reservation(1, 800));
        assertEquals(slots.reserve(ENDPOINT, 2, 1, 1_000), new Reservation(1, 1_000));
        assertEquals(slots.reserve(ENDPOINT, 2, 1, 1_100), new Reservation(0, 1_400));
    }

    @Test
    public void unusedSlotsAreNotMadeUpFor() {
        SendSlots slots = new SendSlots();
        slots.reserve(ENDPOINT, 10, 1, 0);
        assertEquals(slots.reserve(ENDPOINT, 10, 100, 50_000), new Reservation(2, 0));
        assertEquals(slots.reserve(ENDPOINT, 10, 1, 50_000), new Reservation(1, 200));
    }

    @Test
    public void aLimitOfZeroStillAllowsSomeRequests() {
        SendSlots slots = new SendSlots();
        assertEquals(slots.reserve(ENDPOINT, 0, 1, 0), new Reservation(1, 1_000));
        assertEquals(slots.reserve(ENDPOINT, 0, 1, 1_000), new Reservation(0, 5_000));
    }

    @Test
    public void aChangedLimitAppliesAtOnce() {
        SendSlots slots = new SendSlots();
        slots.reserve(ENDPOINT, 0.5, 1, 0);
        assertEquals(slots.reserve(ENDPOINT, 0.5, 1, 1_000), new Reservation(0, 2_000));
        assertEquals(slots.reserve(ENDPOINT, 4, 1, 1_000), new Reservation(1, 250));
        assertEquals(slots.reserve(ENDPOINT, 1, 1, 1_250), new Reservation(1, 1_000));
    }

    @Test
    public void aSchedulerThatBecomesResponsibleAgainDelaysItsFirstSlot() {
        reserve(100, 1, 0);
        assertEquals(reserve(100, 1, 5_000), new Reservation(1, 0));
        mSlots.retainIf(endpoint -> false, 5_000);
        assertEquals(mSlots.size(), 0);
        assertEquals(reserve(100, 1, 5_100), new Reservation(1, 1_000));
    }
}
