package org.filbertrudder.policy.shards;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.filbertrudder.model.message.MemberState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when a shard may be taken from its owner. */
public class GoneRuleTest {

    @DataProvider
    public Object[][] cases() {
        return new Object[][] {
            {"dead and not listed", MemberState.DEAD, 5_000L, 60_000L, true, true},
            {"dead but listed", MemberState.DEAD, 60_000L, 60_000L, false, false},
            {"dead for a moment", MemberState.DEAD, 500L, 60_000L, true, false},
            {"suspected", MemberState.SUSPECT, 60_000L, 60_000L, true, false},
            {"leaving", MemberState.LEAVING, 60_000L, 60_000L, true, false},
            {"live but not listed", MemberState.LIVE, 60_000L, 60_000L, true, false},
            {"unknown to a new member", null, 0L, 1_100L, true, false},
            {"unknown to an old member", null, 0L, 15_000L, true, true},
            {"unknown but listed", null, 0L, 60_000L, false, false},
        };
    }

    @Test(dataProvider = "cases")
    public void takesAShardOnlyOnEvidence(
            String what,
            MemberState state,
            long inStateMs,
            long memberForMs,
            boolean missing,
            boolean gone) {
        assertEquals(
                GoneRule.isGone(Optional.ofNullable(state), inStateMs, memberForMs, missing),
                gone,
                what);
    }
}
