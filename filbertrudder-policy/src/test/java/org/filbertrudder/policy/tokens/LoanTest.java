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

/** Tests the steps of lending between the holders of two regions. */
public class LoanTest {

    private static final AccountId ACCOUNT = AccountId.of("club");
    private static final Contract CONTRACT = Contract.of(1_000, 4_000);
    private static final RegionId EAST = RegionId.of("east");
    private static final RegionId WEST = RegionId.of("west");
    private static final TokenSettings SETTINGS = new TokenSettings(1, 0, 10_000, 1_000, 3_000);
    private static final double ROUNDING = 1e-3;
    private static final long STEP_MS = 10;

    private ConsumptionRecorder mConsumption;
    private TokenHolder mEast;
    private TokenHolder mWest;
    private long mNowMs;
    private long mNextId;

    @BeforeMethod
    public void fillBothShares() {
        mNowMs = 0;
        mNextId = 0;
        mConsumption = new ConsumptionRecorder();
        mEast = holder(EAST);
        mWest = holder(WEST);
        mEast.acquireUnowned(0, 0);
        mWest.acquireUnowned(0, 0);
        tickFor(20_000);
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

    private void tickFor(long durationMs) {
        for (long untilMs = mNowMs + durationMs; mNowMs < untilMs; mNowMs += 500) {
            mEast.tick(mNowMs);
            mWest.tick(mNowMs);
        }
    }

    private List<TokenEffect> reserve(TokenHolder holder, long tokens, long waitMs) {
        TokenRequestKey requestKey = new TokenRequestKey(InstanceId.of("asker"), mNextId++);
        return holder.reserve(requestKey, ACCOUNT, tokens, mNowMs + waitMs, mNowMs);
    }

    private void recordGrants(List<TokenEffect> effects, long tokens) {
        for (TokenEffect effect : effects) {
            boolean granted =
                    effect instanceof TokenEffect.Reply reply
                            && reply.reply().outcome() == ReserveOutcome.GRANTED;
            if (granted) {
                mConsumption.add(mNowMs, tokens);
            }
        }
    }

    /** Consumes the share of the west and returns the loan request that this causes. */
    private PeerMessage.LoanRequest triggerLoanRequest() {
        recordGrants(reserve(mWest, 2_000, 0), 2_000);
        List<TokenEffect> effects = reserve(mWest, 1_900, 5_000);
        return effects.stream()
                .filter(TokenEffect.RequestLoanFromRegion.class::isInstance)
                .map(effect -> ((TokenEffect.RequestLoanFromRegion) effect).request())
                .findFirst()
                .orElseThrow();
    }

    /** Reserves as much as both regions grant, a few tokens at a time. */
    private void reserveAllFor(long durationMs) {
        for (long untilMs = mNowMs + durationMs; mNowMs < untilMs; mNowMs += STEP_MS) {
            for (TokenHolder holder : List.of(mEast, mWest)) {
                recordGrants(holder.tick(mNowMs), 5);
                for (int i = 0; i < 20; i++) {
                    recordGrants(reserve(holder, 5, 0), 5);
                }
            }
        }
    }

    private void assertWithinContract() {
        double excess = mConsumption.largestExcess(CONTRACT.ratePerSecond(), CONTRACT.burst());
        assertTrue(excess <= ROUNDING, "exceeds the contract by " + excess);
    }

    @Test
    public void aLoanAllowsARequestLargerThanTheOwnShare() {
        PeerMessage.LoanRequest request = triggerLoanRequest();

        PeerMessage.LoanGrant grant = mEast.lend(request, mNowMs);
        List<TokenEffect> effects = mWest.addGrantedLoan(grant, mNowMs);

        assertEquals(
                ((TokenEffect.Reply) effects.get(0)).reply().outcome(), ReserveOutcome.GRANTED);
    }

    @Test
    public void aNewHolderWaitsForTheEndOfLoansByTheFailedHolder() {
        PeerMessage.LoanGrant grant = mEast.lend(triggerLoanRequest(), mNowMs);
        recordGrants(mWest.addGrantedLoan(grant, mNowMs), 1_900);
        mEast = holder(EAST);
        mEast.acquireAfterFailure(0, mNowMs);

        reserveAllFor(12_000);

        assertWithinContract();
    }

    @Test
    public void aHandedOverShareKeepsItsLoans() {
        PeerMessage.LoanGrant grant = mEast.lend(triggerLoanRequest(), mNowMs);
        recordGrants(mWest.addGrantedLoan(grant, mNowMs), 1_900);
        PeerMessage.ShardHandover handover =
                new PeerMessage.ShardHandover(EAST, 0, 1, mEast.shareSnapshots(0, mNowMs));
        mEast.release(0);
        mEast = holder(EAST);
        mEast.acquireFromHandover(handover, mNowMs);

        reserveAllFor(12_000);

        assertWithinContract();
    }

    @Test
    public void aLateLoanEndsBeforeTheLenderRestoresIt() {
        PeerMessage.LoanGrant grant = mEast.lend(triggerLoanRequest(), mNowMs);
        tickFor(900);
        mWest.addGrantedLoan(grant, mNowMs);
        tickFor(9_300);

        reserveAllFor(2_000);

        assertWithinContract();
    }

    @Test
    public void aDuplicatedLoanGrantCountsOnce() {
        PeerMessage.LoanGrant grant = mEast.lend(triggerLoanRequest(), mNowMs);
        recordGrants(mWest.addGrantedLoan(grant, mNowMs), 1_900);
        recordGrants(mWest.addGrantedLoan(grant, mNowMs), 1_900);

        reserveAllFor(5_000);

        assertWithinContract();
    }

    @Test
    public void aPausedHolderGrantsNothingUntilItsShardsAreValidated() {
        mNowMs += 60_000;

        List<TokenEffect> paused = reserve(mEast, 1, 0);
        mEast.resumeAfterValidation(mNowMs);
        List<TokenEffect> validated = reserve(mEast, 1, 0);

        assertEquals(
                ((TokenEffect.Reply) paused.get(0)).reply().outcome(), ReserveOutcome.NOT_HOLDER);
        assertEquals(
                ((TokenEffect.Reply) validated.get(0)).reply().outcome(), ReserveOutcome.GRANTED);
    }

    @Test
    public void aRequestLargerThanTheBurstIsRefusedImmediately() {
        List<TokenEffect> effects = reserve(mEast, 4_001, 60_000);

        assertEquals(
                ((TokenEffect.Reply) effects.get(0)).reply().outcome(), ReserveOutcome.TOO_LARGE);
    }

    @Test
    public void anIsolatedHolderGrantsAndLendsNothingUntilItRegainsContact() {
        recordGrants(reserve(mEast, 2_000, 0), 2_000);
        reserve(mEast, 1_000, 9_000);

        List<TokenEffect> refusals = mEast.setIsolated(true);

        assertEquals(refusals.size(), 1);
        assertEquals(outcome(refusals), ReserveOutcome.NOT_HOLDER);
        tickFor(3_000);
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
