package org.filbertrudder.policy.tokens;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
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

/** Tests the shares of instances with loans between them, on a virtual clock. */
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

    private static List<Member> members(int regions, int inEach) {
        List<Member> members = new ArrayList<>();
        for (int region = 0; region < regions; region++) {
            for (int number = 0; number < inEach; number++) {
                members.add(member(region, number, MemberState.LIVE));
            }
        }
        return members;
    }

    /** Lists regions, instances in each, and the holders expected. */
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{1, 1, 1}, {3, 2, 6}, {3, 20, 6}, {48, 40, 96}};
    }

    @Test(dataProvider = "fleets")
    public void boundsTheHoldersOfAnAccount(int regions, int inEach, int holders) {
        InstanceShares shares = new InstanceShares(InstanceId.of("i0-0"), SETTINGS);
        shares.setMembers(members(regions, inEach), 0);

        assertEquals(shares.holders(ACCOUNT).size(), holders);
    }

    @Test
    public void aMemberKeepsItsShareUntilItIsDead() {
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

    /** Lists the number of instances, of which one is asked for everything, and the seed. */
    @DataProvider
    public Object[][] runs() {
        return new Object[][] {{1, 1}, {3, 2}, {6, 3}, {6, 4}};
    }

    @Test(dataProvider = "runs")
    public void servesTheRateAtOneInstanceAndNeverMore(int instances, int seed) {
        Fleet fleet = new Fleet(instances, seed);
        fleet.run(20_000, 3.0);

        // In 20 s the contract allows 21,000 tokens; loans need some time to arrive.
        assertTrue(fleet.mGrantedTokens <= 21_000, fleet.mGrantedTokens + " tokens");
        assertTrue(fleet.mGrantedTokens >= 15_000, fleet.mGrantedTokens + " tokens");
    }

    @Test(dataProvider = "runs")
    public void refusesLittleOfWhatIsInsideTheRate(int instances, int seed) {
        Fleet fleet = new Fleet(instances, seed);
        fleet.run(20_000, 0.5);

        assertTrue(fleet.mRefused <= fleet.mAsked / 20, fleet.mRefused + " of " + fleet.mAsked);
    }

    @Test
    public void refusesARequestLargerThanTheBurstAtOnce() {
        InstanceShares shares = new InstanceShares(InstanceId.of("i0-0"), SETTINGS);
        shares.setMembers(members(1, 1), 0);
        shares.setContracts(Map.of(ACCOUNT, CONTRACT), 0);

        List<TokenEffect> effects =
                shares.reserve(new Asker(InstanceId.of("i0-0"), 1), ACCOUNT, 1_001, 5_000, 2_000);

        TokenEffect.Reply reply = (TokenEffect.Reply) effects.get(0);
        assertEquals(reply.reply().outcome(), ReserveOutcome.TOO_LARGE);
    }

    /** Drives the shares of some instances; every request goes to the first of them. */
    private static final class Fleet {

        private final Map<InstanceId, InstanceShares> mShares = new LinkedHashMap<>();
        private final PriorityQueue<Delivery> mInFlight = new PriorityQueue<>();
        private final Random mRandom;
        private final InstanceId mFirst = InstanceId.of("i0-0");
        private long mNowMs;
        private long mSequence;
        private long mAsked;
        private long mRefused;
        private long mGrantedTokens;

        Fleet(int instances, int seed) {
            mRandom = new Random(seed);
            List<Member> members = members(instances, 1);
            for (Member member : members) {
                InstanceShares shares = new InstanceShares(member.id(), SETTINGS);
                shares.setMembers(members, 0);
                shares.setContracts(Map.of(ACCOUNT, CONTRACT), 0);
                mShares.put(member.id(), shares);
            }
        }

        /** Asks for a multiple of the rate in requests of about a twentieth of the burst. */
        void run(long durationMs, double load) {
            double owed = 0;
            while (mNowMs < durationMs) {
                mNowMs += STEP_MS;
                owed += CONTRACT.ratePerSecond() * load * STEP_MS / 1_000;
                while (owed > 0) {
                    long tokens = 25 + mRandom.nextInt(50);
                    owed -= tokens;
                    ask(tokens);
                }
                deliver();
                mShares.forEach((id, shares) -> apply(id, shares.tick(mNowMs)));
            }
        }

        private void ask(long tokens) {
            // The id carries the size, as the reply does not.
            long id = ++mAsked * 1_000 + tokens;
            Asker asker = new Asker(mFirst, id);
            apply(
                    mFirst,
                    mShares.get(mFirst).reserve(asker, ACCOUNT, tokens, mNowMs + 1_000, mNowMs));
        }

        private void apply(InstanceId from, List<TokenEffect> effects) {
            for (TokenEffect effect : effects) {
                if (effect instanceof TokenEffect.Reply reply) {
                    if (reply.reply().outcome() == ReserveOutcome.GRANTED) {
                        mGrantedTokens += reply.reply().id() % 1_000;
                    } else {
                        mRefused++;
                    }
                } else if (effect instanceof TokenEffect.AskInstance loan) {
                    send(from, loan.lender(), loan.request());
                }
            }
        }

        private void send(InstanceId from, InstanceId to, PeerMessage message) {
            long atMs = mNowMs + 1 + mRandom.nextInt(160);
            mInFlight.add(new Delivery(atMs, mSequence++, from, to, message));
        }

        private void deliver() {
            while (!mInFlight.isEmpty() && mInFlight.peek().atMs() <= mNowMs) {
                Delivery delivery = mInFlight.poll();
                InstanceShares shares = mShares.get(delivery.to());
                if (delivery.message() instanceof PeerMessage.LoanRequest request) {
                    send(delivery.to(), delivery.from(), shares.lend(request, mNowMs));
                } else if (delivery.message() instanceof PeerMessage.LoanGrant grant) {
                    apply(delivery.to(), shares.loanGranted(grant, mNowMs));
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
