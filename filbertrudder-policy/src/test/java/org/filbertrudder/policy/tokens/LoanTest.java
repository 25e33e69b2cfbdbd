package org.filbertrudder.policy.tokens;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.model.Account;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.Contract;
import org.filbertrudder.model.Entity;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.Region;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ReserveOutcome;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Proves the single steps of lending between two regions. */
public class LoanTest {

    private static final AccountId ACCOUNT = AccountId.of("club");
    private static final Contract CONTRACT = Contract.of(1_000, 4_000);
    private static final RegionId EAST = RegionId.of("east");
    private static final RegionId WEST = RegionId.of("west");
    private static final TokenSettings SETTINGS = new TokenSettings(1, 0, 10_000, 1_000, 3_000);
    private static final double ROUNDING = 1e-3;
    private static final long STEP_MS = 10;

    private ConsumptionMeter mMeter;
    private TokenHolder mEast;
    private TokenHolder mWest;
    private long mNowMs;
    private long mNextId;

    @BeforeMethod
    public void fillBothShares() {
        mNowMs = 0;
        mNextId = 0;
        mMeter = new ConsumptionMeter();
        mEast = holder(EAST);
        mWest = holder(WEST);
        mEast.acquireFirst(0, 0);
        mWest.acquireFirst(0, 0);
        idleFor(20_000);
    }

    private static Configuration configuration() {
        List<Entity> entities = new ArrayList<>();
        entities.add(new Region(EAST, List.of(FailureDomainId.of("e"))));
        entities.add(new Region(WEST, List.of(FailureDomainId.of("w"))));
        entities.add(new Account(ACCOUNT, CONTRACT, Set.of(), Map.of()));
        return Configuration.of(1, "start", entities);
    }

    private TokenHolder holder(RegionId region) {
        TokenHolder holder = new TokenHolder(region, SETTINGS, mNowMs);
        holder.setConfiguration(configuration(), mNowMs);
        return holder;
    }

    private void idleFor(long durationMs) {
        for (long untilMs = mNowMs + durationMs; mNowMs < untilMs; mNowMs += 500) {
            mEast.tick(mNowMs);
            mWest.tick(mNowMs);
        }
    }

    private List<TokenEffect> reserve(TokenHolder holder, long tokens, long waitMs) {
        Asker asker = new Asker(InstanceId.of("asker"), mNextId++);
        return holder.reserve(asker, ACCOUNT, tokens, mNowMs + waitMs, mNowMs);
    }

    private void count(List<TokenEffect> effects, long tokens) {
        for (TokenEffect effect : effects) {
            boolean granted =
                    effect instanceof TokenEffect.Reply reply
                            && reply.reply().outcome() == ReserveOutcome.GRANTED;
            if (granted) {
                mMeter.add(mNowMs, tokens);
            }
        }
    }

    /** Lets the west use up its share and returns the loan that it then asks for. */
    private PeerMessage.LoanRequest askedLoan() {
        count(reserve(mWest, 2_000, 0), 2_000);
        List<TokenEffect> effects = reserve(mWest, 1_900, 5_000);
        return effects.stream()
                .filter(TokenEffect.AskLoan.class::isInstance)
                .map(effect -> ((TokenEffect.AskLoan) effect).request())
                .findFirst()
                .orElseThrow();
    }

    /** Takes whatever both regions grant, a few tokens at a time. */
    private void floodFor(long durationMs) {
        for (long untilMs = mNowMs + durationMs; mNowMs < untilMs; mNowMs += STEP_MS) {
            for (TokenHolder holder : List.of(mEast, mWest)) {
                count(holder.tick(mNowMs), 5);
                for (int i = 0; i < 20; i++) {
                    count(reserve(holder, 5, 0), 5);
                }
            }
        }
    }

    private void assertWithinContract() {
        double excess = mMeter.largestExcess(CONTRACT.ratePerSecond(), CONTRACT.burst());
        assertTrue(excess <= ROUNDING, "exceeds by " + excess);
    }

    @Test
    public void aLoanLetsARequestRunThatIsLargerThanTheOwnShare() {
        PeerMessage.LoanRequest request = askedLoan();

        PeerMessage.LoanGrant grant = mEast.lend(request, mNowMs);
        List<TokenEffect> effects = mWest.loanGranted(grant, mNowMs);

        assertEquals(
                ((TokenEffect.Reply) effects.get(0)).reply().outcome(), ReserveOutcome.GRANTED);
    }

    @Test
    public void aNewHolderWaitsForTheLoansThatTheFailedOneMayHaveGiven() {
        PeerMessage.LoanGrant grant = mEast.lend(askedLoan(), mNowMs);
        count(mWest.loanGranted(grant, mNowMs), 1_900);
        mEast = holder(EAST);
        mEast.acquireAfterFailure(0, mNowMs);

        floodFor(12_000);

        assertWithinContract();
    }

    @Test
    public void aHolderThatTakesOverAHandedShareKeepsItsLoans() {
        PeerMessage.LoanGrant grant = mEast.lend(askedLoan(), mNowMs);
        count(mWest.loanGranted(grant, mNowMs), 1_900);
        PeerMessage.ShardHandover handover =
                new PeerMessage.ShardHandover(EAST, 0, 1, mEast.hand(0, mNowMs));
        mEast.release(0);
        mEast = holder(EAST);
        mEast.acquireHanded(handover, mNowMs);

        floodFor(12_000);

        assertWithinContract();
    }

    @Test
    public void aLoanThatArrivesLateEndsWhenTheLenderTakesItBack() {
        PeerMessage.LoanGrant grant = mEast.lend(askedLoan(), mNowMs);
        idleFor(900);
        mWest.loanGranted(grant, mNowMs);
        idleFor(9_300);

        floodFor(2_000);

        assertWithinContract();
    }

    @Test
    public void aDoubledLoanCountsOnce() {
        PeerMessage.LoanGrant grant = mEast.lend(askedLoan(), mNowMs);
        count(mWest.loanGranted(grant, mNowMs), 1_900);
        count(mWest.loanGranted(grant, mNowMs), 1_900);

        floodFor(5_000);

        assertWithinContract();
    }

    @Test
    public void aPausedHolderGrantsNothingUntilItsShardsAreValidated() {
        mNowMs += 60_000;

        List<TokenEffect> paused = reserve(mEast, 1, 0);
        mEast.validated(mNowMs);
        List<TokenEffect> validated = reserve(mEast, 1, 0);

        assertEquals(
                ((TokenEffect.Reply) paused.get(0)).reply().outcome(), ReserveOutcome.NOT_HOLDER);
        assertEquals(
                ((TokenEffect.Reply) validated.get(0)).reply().outcome(), ReserveOutcome.GRANTED);
    }

    @Test
    public void aRequestLargerThanTheBurstIsRefusedAtOnce() {
        List<TokenEffect> effects = reserve(mEast, 4_001, 60_000);

        assertEquals(
                ((TokenEffect.Reply) effects.get(0)).reply().outcome(), ReserveOutcome.TOO_LARGE);
    }

    @Test
    public void anIsolatedHolderGrantsAndLendsNothingUntilItHasContactAgain() {
        count(reserve(mEast, 2_000, 0), 2_000);
        reserve(mEast, 1_000, 9_000);

        List<TokenEffect> dismissed = mEast.setIsolated(true);

        assertEquals(dismissed.size(), 1);
        assertEquals(outcome(dismissed), ReserveOutcome.NOT_HOLDER);
        idleFor(3_000);
        assertEquals(outcome(reserve(mEast, 1, 0)), ReserveOutcome.NOT_HOLDER);
        PeerMessage.LoanGrant loan =
                mEast.lend(new PeerMessage.LoanRequest(1, ACCOUNT, 10, 10), mNowMs);
        assertEquals(loan.tokens(), 0.0);
        mEast.setIsolated(false);
        assertEquals(outcome(reserve(mEast, 1, 0)), ReserveOutcome.GRANTED);
    }

    private static ReserveOutcome outcome(List<TokenEffect> effects) {
        return effects.stream()
                .filter(TokenEffect.Reply.class::isInstance)
                .map(effect -> ((TokenEffect.Reply) effect).reply().outcome())
                .findFirst()
                .orElseThrow();
    }
}
