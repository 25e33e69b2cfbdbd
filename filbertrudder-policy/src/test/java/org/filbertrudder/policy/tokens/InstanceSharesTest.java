package org.filbertrudder.policy.tokens;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Function;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Contract;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ReserveOutcome;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the shares of several instances and the loans between them on a simulated clock. */
public class InstanceSharesTest {

    private static final AccountId ACCOUNT = AccountId.of("club");
    private static final Contract CONTRACT = Contract.of(1_000, 1_000);
    private static final TokenSettings SETTINGS = new TokenSettings(1, 0, 4_000, 600, 3_000);
    private static final long STEP_MS = 10;

    private static Member member(int region, int number, MemberState state) {
        return new Member(
                InstanceId.of("i" + region + "-" + number),
                1,
                RegionId.of("r" + region),
                FailureDomainId.of("d" + region),
                "127.0.0.1",
                1,
                2,
                3,
                state);
    }

    private static List<Member> members(int regions, int instancesPerRegion) {
        List<Member> members = new ArrayList<>();
        for (int region = 0; region < regions; region++) {
            for (int number = 0; number < instancesPerRegion; number++) {
                members.add(member(region, number, MemberState.LIVE));
            }
        }
        return members;
    }

    /** Numbers of regions, of instances in each, and of expected holders. */
    @DataProvider
    public Object[][] fleetSizes() {
        return new Object[][] {{1, 1, 1}, {3, 2, 6}, {3, 20, 6}, {48, 40, 96}};
    }

    @Test(dataProvider = "fleetSizes")
    public void limitsTheHoldersOfAnAccountInEachRegion(
            int regions, int instancesPerRegion, int holders) {
        InstanceShares shares = new InstanceShares(InstanceId.of("i0-0"), SETTINGS);
        shares.setMembers(members(regions, instancesPerRegion), 0);

        assertEquals(shares.holders(ACCOUNT).size(), holders);
    }

    @Test
    public void aMemberRemainsHolderUntilItIsDead() {
        InstanceShares shares = new InstanceShares(InstanceId.of("i0-0"), SETTINGS);
        shares.setMembers(
                List.of(
                        member(0, 0, MemberState.LIVE),
                        member(0, 1, MemberState.SUSPECT),
                        member(1, 0, MemberState.LEAVING),
                        member(1, 1, MemberState.DEAD)),
                0);

        assertEquals(shares.holders(ACCOUNT).size(), 3);
    }

    /** Numbers of instances, of which one receives all requests, and seeds. */
    @DataProvider
    public Object[][] instancesAndSeeds() {
        return new Object[][] {{1, 1}, {3, 2}, {6, 3}, {6, 4}};
    }

    @Test(dataProvider = "instancesAndSeeds")
    public void grantsOneInstanceMostOfTheContractButNeverMore(int instances, int seed) {
        InstanceFleet fleet = new InstanceFleet(instances, seed);
        fleet.run(20_000, 3.0);

        // The contract allows 21,000 tokens in 20 s; loans take some time to arrive.
        assertTrue(fleet.mGrantedTokens <= 21_000, fleet.mGrantedTokens + " tokens granted");
        assertTrue(fleet.mGrantedTokens >= 15_000, fleet.mGrantedTokens + " tokens granted");
    }

    @Test(dataProvider = "instancesAndSeeds")
    public void refusesAtMostOneInTwentyRequestsAtHalfTheRate(int instances, int seed) {
        InstanceFleet fleet = new InstanceFleet(instances, seed);
        fleet.run(20_000, 0.5);

        assertTrue(
                fleet.mRefused <= fleet.mRequestCount / 20,
                fleet.mRefused + " refused of " + fleet.mRequestCount);
    }

    @Test
    public void refusesARequestLargerThanTheBurstImmediately() {
        InstanceShares shares = new InstanceShares(InstanceId.of("i0-0"), SETTINGS);
        shares.setMembers(members(1, 1), 0);
        shares.setContracts(Map.of(ACCOUNT, CONTRACT), 0);

        List<TokenEffect> effects =
                shares.reserve(
                        new TokenRequestKey(InstanceId.of("i0-0"), 1),
                        ACCOUNT,
                        1_001,
                        5_000,
                        2_000);

        TokenEffect.Reply reply = (TokenEffect.Reply) effects.get(0);
        assertEquals(reply.reply().outcome(), ReserveOutcome.TOO_LARGE);
    }

    /** Lists the changes that take the share of an account from an instance. */
    @DataProvider
    public Object[][] changesThatRemoveAShare() {
        Function<InstanceShares, List<TokenEffect>> contractRemoved =
                shares -> shares.setContracts(Map.of(), 2_000);
        Function<InstanceShares, List<TokenEffect>> otherHolders =
                shares -> shares.setMembers(List.of(member(1, 0, MemberState.LIVE)), 2_000);
        return new Object[][] {{contractRemoved}, {otherHolders}};
    }

    @Test(dataProvider = "changesThatRemoveAShare")
    public void requestThatWaitsForTokensOfARemovedShareGetsNoReply(
            Function<InstanceShares, List<TokenEffect>> change) {
        InstanceId self = InstanceId.of("i0-0");
        InstanceShares shares = new InstanceShares(self, SETTINGS);
        shares.setMembers(members(1, 1), 0);
        shares.setContracts(Map.of(ACCOUNT, CONTRACT), 0);
        TokenRequestKey waiting = new TokenRequestKey(self, 2);
        shares.reserve(new TokenRequestKey(self, 1), ACCOUNT, 1_000, 5_000, 1_990);
        assertEquals(shares.reserve(waiting, ACCOUNT, 500, 5_000, 1_990), List.of());

        List<TokenEffect> effects = new ArrayList<>(change.apply(shares));
        effects.addAll(shares.tick(6_000));

        assertEquals(effects.size(), 1, effects.toString());
        TokenEffect.Reply reply = (TokenEffect.Reply) effects.get(0);
        assertEquals(reply.requestKey(), waiting);
        assertEquals(reply.reply().outcome(), ReserveOutcome.NOT_HOLDER);
    }

    /** Simulates the shares of several instances; the first one receives every request. */
    private static final class InstanceFleet {

        private final Map<InstanceId, InstanceShares> mShares = new LinkedHashMap<>();
        private final PriorityQueue<Delivery> mInFlight = new PriorityQueue<>();
        private final Random mRandom;
        private final InstanceId mReceivingInstance = InstanceId.of("i0-0");
        private long mNowMs;
        private long mSequence;
        private long mRequestCount;
        private long mRefused;
        private long mGrantedTokens;

        InstanceFleet(int instances, int seed) {
            mRandom = new Random(seed);
            List<Member> members = members(instances, 1);
            for (Member member : members) {
                InstanceShares shares = new InstanceShares(member.id(), SETTINGS);
                shares.setMembers(members, 0);
                shares.setContracts(Map.of(ACCOUNT, CONTRACT), 0);
                mShares.put(member.id(), shares);
            }
        }

        /** Requests a multiple of the rate in requests of about a twentieth of the burst. */
        void run(long durationMs, double load) {
            double tokensDue = 0;
            while (mNowMs < durationMs) {
                mNowMs += STEP_MS;
                tokensDue += CONTRACT.ratePerSecond() * load * STEP_MS / 1_000;
                while (tokensDue > 0) {
                    long tokens = 25 + mRandom.nextInt(50);
                    tokensDue -= tokens;
                    reserve(tokens);
                }
                deliverMessages();
                mShares.forEach((id, shares) -> apply(id, shares.tick(mNowMs)));
            }
        }

        private void reserve(long tokens) {
            // The id encodes the size, as the reply does not contain it.
            long id = ++mRequestCount * 1_000 + tokens;
            TokenRequestKey requestKey = new TokenRequestKey(mReceivingInstance, id);
            apply(
                    mReceivingInstance,
                    mShares.get(mReceivingInstance)
                            .reserve(requestKey, ACCOUNT, tokens, mNowMs + 1_000, mNowMs));
        }

        private void apply(InstanceId from, List<TokenEffect> effects) {
            for (TokenEffect effect : effects) {
                if (effect instanceof TokenEffect.Reply reply) {
                    if (reply.reply().outcome() == ReserveOutcome.GRANTED) {
                        mGrantedTokens += reply.reply().id() % 1_000;
                    } else {
                        mRefused++;
                    }
                } else if (effect instanceof TokenEffect.RequestLoanFromInstance loan) {
                    send(from, loan.lender(), loan.request());
                }
            }
        }

        private void send(InstanceId from, InstanceId to, PeerMessage message) {
            long atMs = mNowMs + 1 + mRandom.nextInt(160);
            mInFlight.add(new Delivery(atMs, mSequence++, from, to, message));
        }

        private void deliverMessages() {
            while (!mInFlight.isEmpty() && mInFlight.peek().atMs() <= mNowMs) {
                Delivery delivery = mInFlight.poll();
                InstanceShares shares = mShares.get(delivery.to());
                if (delivery.message() instanceof PeerMessage.LoanRequest request) {
                    send(delivery.to(), delivery.from(), shares.lend(request, mNowMs));
                } else if (delivery.message() instanceof PeerMessage.LoanGrant grant) {
                    apply(delivery.to(), shares.addGrantedLoan(grant, mNowMs));
                }
            }
        }
    }

    private record Delivery(
            long atMs, long sequence, InstanceId from, InstanceId to, PeerMessage message)
            implements Comparable<Delivery> {

        @Override
        public int compareTo(Delivery other) {
            return atMs != other.atMs
                    ? Long.compare(atMs, other.atMs)
                    : Long.compare(sequence, other.sequence);
        }
    }
}
