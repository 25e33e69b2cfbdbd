package org.filbertrudder.policy.shards;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.policy.membership.MembershipSettings;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when a holder without contact stops to grant. */
public class IsolationRuleTest {

    private static final long NOW_MS = 100_000;

    @DataProvider
    public Object[][] contacts() {
        long old = NOW_MS - IsolationRule.ISOLATED_AFTER_MS - 1;
        return new Object[][] {
            {true, old, old, true},
            {true, NOW_MS - 1_000, old, false},
            {true, old, NOW_MS - 1_000, false},
            {false, old, old, false},
        };
    }

    @Test(dataProvider = "contacts")
    public void stopsOnlyWithPeersAndWithoutAnyContact(
            boolean hasPeers, long answeredMs, long listedMs, boolean isolated) {
        assertEquals(IsolationRule.isIsolated(hasPeers, answeredMs, listedMs, NOW_MS), isolated);
    }

    @Test
    public void aHolderStopsBeforeAnybodyMayTakeItsShards() {
        MembershipSettings settings = MembershipSettings.DEFAULT;
        long deadAfterMs = settings.suspectAfterMs() + settings.deadAfterMs();
        long takenMs = 0;
        while (!isTaken(takenMs, deadAfterMs)) {
            takenMs += 50;
        }

        assertTrue(IsolationRule.ISOLATED_AFTER_MS < takenMs, "taken after " + takenMs);
        assertTrue(IsolationRule.isIsolated(true, 0, 0, takenMs));
        assertFalse(isTaken(IsolationRule.ISOLATED_AFTER_MS, deadAfterMs));
    }

    /** Returns whether the others take over at a time after the last contact, at the earliest. */
    private static boolean isTaken(long sinceContactMs, long deadAfterMs) {
        return sinceContactMs >= deadAfterMs
                && GoneRule.isGone(
                        Optional.of(MemberState.DEAD), sinceContactMs - deadAfterMs, NOW_MS, true);
    }
}
