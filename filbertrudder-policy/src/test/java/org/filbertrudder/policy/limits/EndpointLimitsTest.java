package org.filbertrudder.policy.limits;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.policy.limits.EndpointLimits.ChangeKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which limit applies after observations that arrive in any order. */
public class EndpointLimitsTest {

    private static final EndpointId ENDPOINT = EndpointId.of("i-1");
    private static final double NONE = -1;

    private final EndpointLimits mLimits = new EndpointLimits();

    private static LimitObservation observation(double perSecond, long sentMs, long receivedMs) {
        return new LimitObservation(
                perSecond == NONE ? OptionalDouble.empty() : OptionalDouble.of(perSecond),
                sentMs,
                receivedMs);
    }

    /**
     * Provides a limit known since 1,000 ms, a second observation with its interval, and the limit
     * that applies then.
     */
    @DataProvider
    public Object[][] secondObservations() {
        return new Object[][] {
            // The request was sent after the first response had arrived.
            {2.0, NONE, 1_000, 1_200, NONE},
            {2.0, 5.0, 1_000, 1_200, 5.0},
            {2.0, 1.0, 1_000, 1_200, 1.0},
            // The order is unknown.
            {2.0, NONE, 999, 1_200, 2.0},
            {2.0, 5.0, 999, 1_200, 2.0},
            {2.0, 1.0, 999, 1_200, 1.0},
            // The response had arrived before the request of the first one was sent.
            {2.0, NONE, 100, 800, 2.0},
            {2.0, 1.0, 100, 800, 2.0},
        };
    }

    @Test(dataProvider = "secondObservations")
    public void aLaterObservationAppliesAndTheLowerOneIfTheOrderIsUnknown(
            double first, double second, long sentMs, long receivedMs, double expected) {
        EndpointLimits limits = new EndpointLimits();
        limits.record(ENDPOINT, observation(first, 800, 1_000));
        limits.record(ENDPOINT, observation(second, sentMs, receivedMs));

        assertEquals(limits.perSecond(ENDPOINT).orElse(NONE), expected);
    }

    @Test
    public void reportsEachChangeOnce() {
        assertEquals(mLimits.record(ENDPOINT, observation(NONE, 0, 10)), Optional.empty());
        assertEquals(kind(observation(2, 10, 20)), Optional.of(ChangeKind.STATED));
        assertEquals(kind(observation(2, 20, 30)), Optional.empty());
        assertEquals(kind(observation(3, 30, 40)), Optional.of(ChangeKind.CHANGED));
        assertEquals(kind(observation(NONE, 40, 50)), Optional.of(ChangeKind.LIFTED));
        assertEquals(kind(observation(NONE, 50, 60)), Optional.empty());
        assertEquals(kind(observation(1, 60, 70)), Optional.of(ChangeKind.STATED));
        assertEquals(mLimits.size(), 1);
    }

    private Optional<ChangeKind> kind(LimitObservation observation) {
        return mLimits.record(ENDPOINT, observation).map(EndpointLimits.Change::kind);
    }

    @Test
    public void forgetsALimitLongAfterTheRegistrationHasExpired() {
        mLimits.record(ENDPOINT, observation(1, 0, 10));
        mLimits.expire(Set.of(ENDPOINT), 1_000_000);
        assertEquals(mLimits.size(), 1);
        mLimits.expire(Set.of(), 600_010);
        assertEquals(mLimits.size(), 1);
        mLimits.expire(Set.of(), 600_011);
        assertEquals(mLimits.size(), 0);
    }
}
