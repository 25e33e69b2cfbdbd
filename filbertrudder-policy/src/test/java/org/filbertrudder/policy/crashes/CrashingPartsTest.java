package org.filbertrudder.policy.crashes;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.filbertrudder.model.message.PartEvidence;
import org.filbertrudder.policy.crashes.CrashingParts.Decision;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how parts of prompts are suspected, cleared, blocked and tried again. */
public class CrashingPartsTest {

    private static final List<String> PROMPT = List.of("book", "deadly");
    private static final long MINUTE_MS = 60_000;
    private static final long ENDPOINT = 5;

    private CrashingParts mParts;

    @BeforeMethod
    public void createParts() {
        mParts = new CrashingParts();
    }

    private static void lose(CrashingParts parts, List<String> prompt, long request, long nowMs) {
        parts.recordLoss(parts.sent(prompt, nowMs), request, ENDPOINT, nowMs);
    }

    private static void answer(CrashingParts parts, List<String> prompt, long nowMs) {
        parts.recordAnswer(parts.sent(prompt, nowMs), nowMs);
    }

    private static CrashingParts withBlockedPart(long nowMs) {
        CrashingParts parts = new CrashingParts();
        for (long request = 1; request <= 3; request++) {
            lose(parts, PROMPT, request, nowMs);
            answer(parts, List.of("book"), nowMs);
        }
        return parts;
    }

    @Test
    public void blocksThePartThatIsLostThreeTimesInSuccessionAndNoOther() {
        CrashingParts parts = withBlockedPart(0);

        assertTrue(parts.isBlocked("deadly"));
        assertFalse(parts.isBlocked("book"));
        assertEquals(parts.blockedCount(), 1);
    }

    @Test
    public void countsRequestsThatAreLostInTheSameCrashOnce() {
        List<SentParts> sent = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            sent.add(mParts.sent(PROMPT, 0));
        }
        for (int i = 0; i < 50; i++) {
            mParts.recordLoss(sent.get(i), i, ENDPOINT, i);
        }

        assertFalse(mParts.isBlocked("deadly"));
        assertEquals(mParts.sent(PROMPT, 0).knownLosses(), List.of(1, 1));
    }

    @Test
    public void oneRequestThatIsSentAgainAndAgainImplicatesNoPart() {
        for (int i = 0; i < 10; i++) {
            lose(mParts, PROMPT, 7, i);
        }
        assertFalse(mParts.isBlocked("deadly"));

        lose(mParts, PROMPT, 8, 11);
        assertTrue(mParts.isBlocked("deadly"));
    }

    @Test
    public void aPartThatWasAnsweredLatelyNeedsMoreLossesWithTimeBetween() {
        answer(mParts, PROMPT, 0);
        for (int i = 0; i < 100; i++) {
            lose(mParts, PROMPT, i, i);
        }
        assertEquals(mParts.sent(PROMPT, 100).knownLosses(), List.of(1, 1));
        for (int i = 1; i < CrashingParts.BLOCKING_LOSSES_ANSWERED; i++) {
            assertFalse(mParts.isBlocked("deadly"));
            lose(mParts, PROMPT, i, i * 1_000L);
        }

        assertTrue(mParts.isBlocked("deadly"));
    }

    /** Lists the answers that an instance has seen before, and whether it blocks the part. */
    @DataProvider
    public Object[][] answersBefore() {
        List<String> noPrompt = List.of();
        return new Object[][] {
            {0, List.of("book"), false}, {200, noPrompt, false}, {200, List.of("book"), true}
        };
    }

    @Test(dataProvider = "answersBefore")
    public void blocksAnUnansweredPartThatIsLostAtSeveralEndpointsAtOnce(
            int answers, List<String> answered, boolean blocked) {
        for (int i = 0; i < answers; i++) {
            answer(mParts, answered, 0);
        }
        SentParts sent = mParts.sent(PROMPT, 0);
        for (long i = 1; i <= CrashingParts.BLOCKING_ENDPOINTS; i++) {
            assertFalse(mParts.isBlocked("deadly"));
            mParts.recordLoss(sent, i, i, 1);
        }

        assertEquals(mParts.isBlocked("deadly"), blocked);
        assertFalse(mParts.isBlocked("book"));
    }

    @Test
    public void anAnswerToARequestThatWasSentEarlierClearsNothing() {
        SentParts sentBefore = mParts.sent(PROMPT, 0);
        lose(mParts, PROMPT, 1, 0);

        assertTrue(mParts.recordAnswer(sentBefore, 1).isEmpty());
        assertFalse(mParts.recordAnswer(mParts.sent(PROMPT, 1), 2).isEmpty());
    }

    @Test
    public void partsThatAreLostTogetherAreRefusedTogetherUntilOneIsLostAlone() {
        List<String> both = List.of("chapter", "deadly");
        for (long request = 1; request <= 3; request++) {
            lose(mParts, both, request, 0);
        }
        assertEquals(decide(both), Decision.BLOCKED);
        assertEquals(decide(List.of("chapter")), Decision.ALLOWED);
        assertEquals(decide(List.of("deadly")), Decision.ALLOWED);

        lose(mParts, List.of("deadly"), 4, 1);

        assertEquals(decide(List.of("deadly")), Decision.BLOCKED);
        assertEquals(decide(List.of("chapter")), Decision.ALLOWED);
        assertEquals(decide(both), Decision.BLOCKED);
    }

    @Test
    public void aPartThatIsAnsweredAloneLeavesTheOtherBlocked() {
        List<String> both = List.of("chapter", "deadly");
        for (long request = 1; request <= 3; request++) {
            lose(mParts, both, request, 0);
        }

        answer(mParts, List.of("chapter"), 1);

        assertFalse(mParts.isBlocked("chapter"));
        assertEquals(decide(List.of("deadly")), Decision.BLOCKED);
    }

    private Decision decide(List<String> parts) {
        return mParts.decide(parts, part -> false, 1);
    }

    @Test
    public void aBlockedPartExplainsTheLossOfTheOthers() {
        CrashingParts parts = withBlockedPart(0);
        SentParts sent = parts.sent(List.of("other", "deadly"), 1);

        parts.recordLoss(sent, 9, ENDPOINT, 1);

        assertEquals(parts.sent(List.of("other"), 1).knownLosses(), List.of(0));
    }

    @Test
    public void evidenceIsTheSameInWhateverOrderItArrives() {
        Random random = new Random(1);
        List<PartEvidence> reports = new ArrayList<>();
        for (int instance = 0; instance < 5; instance++) {
            CrashingParts origin = new CrashingParts();
            for (int i = 0; i < 6; i++) {
                if (random.nextInt(3) == 0) {
                    answer(origin, PROMPT, i);
                } else {
                    lose(origin, PROMPT, random.nextInt(4), i);
                }
                reports.addAll(origin.evidence(i));
            }
        }
        long digest = 0;
        for (int order = 0; order < 50; order++) {
            Collections.shuffle(reports, random);
            CrashingParts merged = new CrashingParts();
            reports.forEach(report -> merged.merge(report, 10));
            reports.forEach(report -> assertTrue(merged.merge(report, 11).isEmpty()));
            if (order == 0) {
                digest = merged.digest();
            }
            assertEquals(merged.digest(), digest);
        }
    }

    @Test
    public void oneInstanceTriesABlockedPartAgainTwiceAtMost() {
        CrashingParts parts = withBlockedPart(0);
        List<String> prompt = List.of("deadly");
        int trials = 0;
        for (long nowMs = 0; nowMs < 120 * MINUTE_MS; nowMs += 1_000) {
            assertEquals(parts.decide(prompt, part -> false, nowMs), Decision.BLOCKED);
            if (parts.decide(prompt, part -> true, nowMs) == Decision.TRIAL) {
                trials++;
                SentParts sent = parts.sent(prompt, nowMs);
                parts.recordTrial(prompt, nowMs);
                assertEquals(parts.decide(prompt, part -> true, nowMs), Decision.BLOCKED);
                parts.recordLoss(sent, 100 + trials, ENDPOINT, nowMs);
            }
        }

        assertEquals(trials, 2);
    }

    @Test
    public void aTrialThatIsAnsweredAllowsThePartEverywhere() {
        CrashingParts parts = withBlockedPart(0);
        CrashingParts other = new CrashingParts();
        parts.evidence(0).forEach(evidence -> other.merge(evidence, 0));
        assertTrue(other.isBlocked("deadly"));

        parts.recordAnswer(parts.sent(PROMPT, MINUTE_MS), MINUTE_MS)
                .forEach(evidence -> other.merge(evidence, MINUTE_MS));

        assertFalse(parts.isBlocked("deadly"));
        assertFalse(other.isBlocked("deadly"));
    }

    @Test
    public void anOperatorAllowsAPart() {
        CrashingParts parts = withBlockedPart(0);

        assertTrue(parts.allow("deadly", 1).isPresent());
        assertTrue(parts.allow("deadly", 2).isEmpty());

        assertFalse(parts.isBlocked("deadly"));
    }

    @Test
    public void forgetsSuspicionAfterTenMinutesAndABlockAfterADay() {
        CrashingParts parts = withBlockedPart(0);
        lose(parts, List.of("suspected"), 1, 0);

        parts.expire(CrashingParts.SUSPICION_RETENTION_MS + 1);
        assertTrue(parts.isBlocked("deadly"));
        assertEquals(parts.size(), 1);

        assertEquals(parts.expire(CrashingParts.BLOCK_RETENTION_MS + 1), List.of("deadly"));
        assertEquals(parts.size(), 0);
        assertEquals(parts.digest(), 0);
    }

    @Test
    public void madeUpPartsReplaceNeitherABlockedPartNorOneThatWasLostTwice() {
        CrashingParts parts = withBlockedPart(0);
        lose(parts, List.of("suspected"), 1, 0);
        lose(parts, List.of("suspected"), 2, 0);
        for (int i = 0; i < 10 * CrashingParts.MAX_PARTS; i++) {
            lose(parts, List.of("made-up-" + i), i, 1 + i);
        }

        assertEquals(parts.size(), CrashingParts.MAX_PARTS);
        assertTrue(parts.isBlocked("deadly"));
        assertEquals(parts.sent(List.of("suspected"), 0).knownLosses(), List.of(2));
    }

    /** Lists evidence that no instance of this release sends. */
    @DataProvider
    public Object[][] malformedEvidence() {
        List<PartEvidence.LostRequest> beyond = List.of(new PartEvidence.LostRequest(1, 9, 0));
        List<PartEvidence.LostRequest> missing = Collections.singletonList(null);
        return new Object[][] {
            {null},
            {new PartEvidence("part", 3, 0, false, missing, 0)},
            {new PartEvidence(null, 3, 0, false, List.of(), 0)},
            {new PartEvidence("", 3, 0, false, List.of(), 0)},
            {new PartEvidence("x".repeat(1_000), 3, 0, false, List.of(), 0)},
            {new PartEvidence("part", 2, 3, false, List.of(), 0)},
            {new PartEvidence("part", 2, -1, false, List.of(), 0)},
            {new PartEvidence("part", 2, 0, false, beyond, 0)},
            {new PartEvidence("part", 2, 0, false, List.of(), -1)},
            {new PartEvidence("part", 2, 0, false, List.of(), Long.MAX_VALUE)},
        };
    }

    @Test(dataProvider = "malformedEvidence")
    public void ignoresMalformedEvidence(PartEvidence evidence) {
        assertTrue(mParts.merge(evidence, 0).isEmpty());
        assertEquals(mParts.size(), 0);
    }
}
