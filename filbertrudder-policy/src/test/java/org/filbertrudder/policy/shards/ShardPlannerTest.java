package org.filbertrudder.policy.shards;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.ShardOwner;
import org.testng.annotations.Test;

/** Tests which instances claim and release shards, and the directory of owners. */
public class ShardPlannerTest {

    private static final RegionId REGION = RegionId.of("mtl");
    private static final int SHARDS = 16;
    private static final Member A = member("a");
    private static final Member B = member("b");

    private final ShardPlanner mPlanner = new ShardPlanner(SHARDS);

    private static Member member(String id) {
        return new Member(
                InstanceId.of(id),
                1,
                REGION,
                FailureDomainId.of("d"),
                "127.0.0.1",
                1,
                1,
                1,
                MemberState.LIVE);
    }

    private static ShardDirectory ownedBy(Member owner, boolean released) {
        ShardDirectory directory = new ShardDirectory();
        for (int i = 0; i < SHARDS; i++) {
            directory.merge(List.of(new ShardOwner(REGION, i, owner.id(), 1, 1, released)));
        }
        return directory;
    }

    private static Set<Integer> allShards() {
        return IntStream.range(0, SHARDS).boxed().collect(Collectors.toSet());
    }

    @Test
    public void twoMembersTogetherClaimEveryUnownedShardOnce() {
        ShardDirectory empty = new ShardDirectory();

        ShardPlan planOfA = mPlanner.plan(A, Set.of(), List.of(A, B), empty, owner -> false);
        ShardPlan planOfB = mPlanner.plan(B, Set.of(), List.of(A, B), empty, owner -> false);

        assertEquals(planOfA.claims().size() + planOfB.claims().size(), SHARDS);
        assertTrue(!planOfA.claims().isEmpty() && !planOfB.claims().isEmpty());
    }

    @Test
    public void claimsNothingFromAnOwnerWithoutEvidenceThatItEnded() {
        ShardPlan plan = mPlanner.plan(A, Set.of(), List.of(A), ownedBy(B, false), owner -> false);

        assertTrue(plan.claims().isEmpty());
    }

    @Test
    public void claimsTheShardsOfAnEndedOwnerWithAHigherEpoch() {
        ShardPlan plan = mPlanner.plan(A, Set.of(), List.of(A), ownedBy(B, false), owner -> true);

        assertEquals(plan.claims().size(), SHARDS);
        assertTrue(plan.claims().stream().allMatch(claim -> claim.newOwner().epoch() == 2));
    }

    @Test
    public void claimsReleasedShards() {
        ShardPlan plan = mPlanner.plan(A, Set.of(), List.of(A), ownedBy(B, true), owner -> false);

        assertEquals(plan.claims().size(), SHARDS);
    }

    @Test
    public void releasesSomeShardsToAnEligibleNewMember() {
        ShardPlan plan =
                mPlanner.plan(A, allShards(), List.of(A, B), ownedBy(A, false), owner -> false);

        assertTrue(!plan.releases().isEmpty() && plan.releases().size() < SHARDS);
        assertTrue(
                plan.releases().stream().allMatch(release -> release.successor().equals(B.id())));
    }

    @Test
    public void directoryAcceptsOnlyNewerOwners() {
        ShardDirectory directory = ownedBy(A, false);
        ShardOwner newer = new ShardOwner(REGION, 3, B.id(), 1, 2, false);

        assertEquals(directory.merge(List.of(newer)), List.of(newer));
        assertTrue(directory.merge(List.of(newer)).isEmpty());
        assertTrue(
                directory.merge(List.of(new ShardOwner(REGION, 3, A.id(), 1, 1, true))).isEmpty());
        assertEquals(directory.owner(REGION, 3).orElseThrow().owner(), B.id());
    }

    @Test
    public void directoriesWithTheSameOwnersHaveTheSameDigest() {
        ShardDirectory complete = ownedBy(A, false);
        ShardDirectory incomplete = new ShardDirectory();
        incomplete.merge(complete.all().subList(0, SHARDS - 1));

        assertTrue(incomplete.digest() != complete.digest());
        incomplete.merge(complete.all());

        assertEquals(incomplete.digest(), complete.digest());
    }
}
