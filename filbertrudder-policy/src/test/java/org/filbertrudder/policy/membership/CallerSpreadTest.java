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

/** Tests which instances callers are led to. */
public class CallerSpreadTest {

    private static final int KEYS = 2_000;

    private static List<Member> members(int strong, int weak) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < strong + weak; i++) {
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
                            i < strong ? 150 : 36));
        }
        return members;
    }

    /** Lists numbers of strong and weak instances. */
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{6, 26}, {18, 77}, {60, 240}, {0, 100}, {100, 0}};
    }

    @Test(dataProvider = "fleets")
    public void eachInstanceGetsCallersByItsStrength(int strong, int weak) {
        List<Member> members = members(strong, weak);
        Map<InstanceId, Double> callers = new HashMap<>();
        for (int key = 0; key < KEYS; key++) {
            List<Member> named = CallerSpread.choose("place-" + key, members);
            named.forEach(member -> callers.merge(member.id(), 1.0 / named.size(), Double::sum));
        }

        double total = members.stream().mapToInt(Member::strength).sum();
        for (Member member : members) {
            double fair = KEYS * member.strength() / total;
            double got = callers.getOrDefault(member.id(), 0.0);
            assertTrue(got < 2 * fair, member.id() + " got " + got + " of " + fair);
            assertTrue(got > fair / 3, member.id() + " got " + got + " of " + fair);
        }
    }

    @Test
    public void aListChangesOnlyWithTheMembers() {
        List<Member> members = members(6, 26);
        List<Member> named = CallerSpread.choose("mtl/mtl-a/clubs", members);
        List<Member> fewer = new ArrayList<>(members);
        fewer.remove(named.get(0));

        List<Member> after = CallerSpread.choose("mtl/mtl-a/clubs", fewer);

        assertEquals(CallerSpread.choose("mtl/mtl-a/clubs", members), named);
        assertTrue(after.containsAll(named.subList(1, named.size() - 1)));
    }

    @Test
    public void aSmallRegionNamesAllItsInstances() {
        assertEquals(CallerSpread.choose("k", members(1, 2)).size(), 3);
    }
}
