package org.filbertrudder.policy.shards;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.policy.membership.MembershipSettings;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when a holder without contact to other instances stops granting. */
public class IsolationRuleTest {

    private static final long NOW_MS = 100_000;

    @DataProvider
    public Object[][] contacts() {
        long expiredMs = NOW_MS - IsolationRule.ISOLATED_AFTER_MS - 1;
        return new Object[][] {
            {true, expiredMs, expiredMs, true},
            {true, NOW_MS - 1_000, expiredMs, false},
            {true, expiredMs, NOW_MS - 1_000, false},
            {false, expiredMs, expiredMs, false},
        };
    }

    @Test(dataProvider = "contacts")
    public void isIsolatedOnlyWithPeersAndWithoutAnyContact(
            boolean hasPeers, long answeredMs, long listedMs, boolean expected) {
        assertEquals(IsolationRule.isIsolated(hasPeers, answeredMs, listedMs, NOW_MS), expected);
    }

    @Test
    public void aHolderStopsBeforeItsShardsMayBeTakenOver() {
        MembershipSettings settings = MembershipSettings.DEFAULT;
        long deadAfterMs = settings.suspectAfterMs() + settings.deadAfterMs();
        long takeoverMs = 0;
        while (!mayBeTakenOver(takeoverMs, deadAfterMs)) {
            takeoverMs += 50;
        }

        assertTrue(
                IsolationRule.ISOLATED_AFTER_MS < takeoverMs,
                "earliest takeover in ms: " + takeoverMs);
        assertTrue(IsolationRule.isIsolated(true, 0, 0, takeoverMs));
        assertFalse(mayBeTakenOver(IsolationRule.ISOLATED_AFTER_MS, deadAfterMs));
    }

    /** Returns whether others may take over at the given time after the last contact. */
    private static boolean mayBeTakenOver(long sinceContactMs, long deadAfterMs) {
        return sinceContactMs >= deadAfterMs
                && OwnerTerminationRule.hasTerminated(
                        Optional.of(MemberState.DEAD), sinceContactMs - deadAfterMs, NOW_MS, true);
    }
}
