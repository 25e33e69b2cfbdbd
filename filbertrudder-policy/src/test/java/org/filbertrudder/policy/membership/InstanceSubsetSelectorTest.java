package org.filbertrudder.policy.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which instances callers are told to use. */
public class InstanceSubsetSelectorTest {

    private static final int KEYS = 2_000;

    private static List<Member> members(int strongCount, int weakCount) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < strongCount + weakCount; i++) {
            members.add(
                    new Member(
                            InstanceId.of("i" + i),
                            1,
                            RegionId.of("mtl"),
                            FailureDomainId.of("mtl-a"),
                            "10.0.0." + i,
                            1,
                            2,
                            3,
                            MemberState.LIVE,
                            i < strongCount ? 150 : 36));
        }
        return members;
    }

    /** Numbers of strong and weak instances. */
    @DataProvider
    public Object[][] fleetSizes() {
        return new Object[][] {{6, 26}, {18, 77}, {60, 240}, {0, 100}, {100, 0}};
    }

    @Test(dataProvider = "fleetSizes")
    public void eachInstanceGetsCallersInProportionToItsStrength(int strongCount, int weakCount) {
        List<Member> members = members(strongCount, weakCount);
        Map<InstanceId, Double> callersByInstance = new HashMap<>();
        for (int key = 0; key < KEYS; key++) {
            List<Member> listed = InstanceSubsetSelector.select("place-" + key, members);
            listed.forEach(
                    member ->
                            callersByInstance.merge(member.id(), 1.0 / listed.size(), Double::sum));
        }

        double totalStrength = members.stream().mapToInt(Member::strength).sum();
        for (Member member : members) {
            double expected = KEYS * member.strength() / totalStrength;
            double actual = callersByInstance.getOrDefault(member.id(), 0.0);
            assertTrue(
                    actual < 2 * expected,
                    member.id() + " got " + actual + " callers instead of " + expected);
            assertTrue(
                    actual > expected / 3,
                    member.id() + " got " + actual + " callers instead of " + expected);
        }
    }

    @Test
    public void removingAMemberKeepsTheOtherListedMembers() {
        List<Member> members = members(6, 26);
        List<Member> listed = InstanceSubsetSelector.select("mtl/mtl-a/clubs", members);
        List<Member> remaining = new ArrayList<>(members);
        remaining.remove(listed.get(0));

        List<Member> listedAfterRemoval =
                InstanceSubsetSelector.select("mtl/mtl-a/clubs", remaining);

        assertEquals(InstanceSubsetSelector.select("mtl/mtl-a/clubs", members), listed);
        assertTrue(listedAfterRemoval.containsAll(listed.subList(1, listed.size() - 1)));
    }

    @Test
    public void aSmallRegionListsAllItsInstances() {
        assertEquals(InstanceSubsetSelector.select("k", members(1, 2)).size(), 3);
    }
}
