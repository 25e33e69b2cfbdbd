package org.filbertrudder.policy.shards;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.filbertrudder.model.message.MemberState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the evidence that permits a takeover of a shard from its owner. */
public class OwnerTerminationRuleTest {

    @DataProvider
    public Object[][] ownerStates() {
        return new Object[][] {
            {"dead and not listed", MemberState.DEAD, 5_000L, 60_000L, true, true},
            {"dead but listed", MemberState.DEAD, 60_000L, 60_000L, false, false},
            {"dead for less than the minimum time", MemberState.DEAD, 500L, 60_000L, true, false},
            {"suspected", MemberState.SUSPECT, 60_000L, 60_000L, true, false},
            {"leaving", MemberState.LEAVING, 60_000L, 60_000L, true, false},
            {"live but not listed", MemberState.LIVE, 60_000L, 60_000L, true, false},
            {"unknown to an instance that has just joined", null, 0L, 1_100L, true, false},
            {"unknown to an established member", null, 0L, 15_000L, true, true},
            {"unknown but listed", null, 0L, 60_000L, false, false},
        };
    }

    @Test(dataProvider = "ownerStates")
    public void permitsTakeoverOnlyWithEvidenceFromBothSources(
            String description,
            MemberState state,
            long inStateMs,
            long memberForMs,
            boolean missingFromLiveList,
            boolean expected) {
        assertEquals(
                OwnerTerminationRule.hasTerminated(
                        Optional.ofNullable(state), inStateMs, memberForMs, missingFromLiveList),
                expected,
                description);
    }
}
