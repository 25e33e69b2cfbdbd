package org.filbertrudder.policy.freshness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.Set;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.StoreEra;
import org.filbertrudder.policy.freshness.OperatorStateTracker.Verdict;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which states an instance follows, and what confirms them, around a new era. */
public class OperatorStateTrackerTest {

    private static final StoreEra FIRST = new StoreEra(1);
    private static final StoreEra SECOND = new StoreEra(2);
    private static final FailureDomainId DOMAIN = FailureDomainId.of("a");
    private static final long NEW_ERA_MS = 100_000;

    private OperatorStateTracker mTracker;

    @BeforeMethod
    public void followVersion() {
        mTracker = new OperatorStateTracker();
        mTracker.offer(new StorePosition(FIRST, 22, 13), false, 0);
    }

    /** Lists what is found in a new era, whether it is the same document, and the verdict. */
    @DataProvider
    public Object[][] findings() {
        return new Object[][] {
            {new StorePosition(SECOND, 20, 6), false, Verdict.OLDER},
            {new StorePosition(SECOND, 40, 12), false, Verdict.OLDER},
            {new StorePosition(SECOND, 21, 13), true, Verdict.SAME},
            {new StorePosition(SECOND, 21, 13), false, Verdict.NEWER},
            {new StorePosition(SECOND, 22, 14), false, Verdict.NEWER},
            {new StorePosition(FIRST, 21, 13), false, Verdict.SAME},
            {new StorePosition(FIRST, 23, 14), false, Verdict.NEWER},
        };
    }

    @Test(dataProvider = "findings")
    public void revisionDecidesBetweenVersions(
            StorePosition found, boolean isSameDocument, Verdict verdict) {
        assertEquals(mTracker.offer(found, isSameDocument, NEW_ERA_MS), verdict);
    }

    /** Lists the version found in a new era, when it was requested, and whether it confirms. */
    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {13, 0, false},
            {13, OperatorStateTracker.CONFIRMATION_DELAY_MS - 1, false},
            {13, OperatorStateTracker.CONFIRMATION_DELAY_MS, true},
            {14, 0, false},
            {14, OperatorStateTracker.CONFIRMATION_DELAY_MS, true},
            {6, OperatorStateTracker.CONFIRMATION_DELAY_MS, false},
            {6, OperatorStateTracker.MAX_CATCH_UP_MS - 1, false},
            {6, OperatorStateTracker.MAX_CATCH_UP_MS, true},
        };
    }

    @Test(dataProvider = "requests")
    public void answerThatMayLackAVersionConfirms(long version, long eraAgeMs, boolean confirms) {
        StorePosition found = new StorePosition(SECOND, 21, version);
        mTracker.offer(found, false, NEW_ERA_MS);

        assertEquals(mTracker.confirms(found, NEW_ERA_MS + eraAgeMs), confirms);
    }

    @Test
    public void answerOfAnOlderEraConfirms() {
        mTracker.noteEra(SECOND, NEW_ERA_MS);

        assertFalse(mTracker.confirms(new StorePosition(FIRST, 22, 13), NEW_ERA_MS + 60_000));
    }

    /**
     * Lists the era that a peer knows, for how long, the age of its confirmation, and the trust.
     */
    @DataProvider
    public Object[][] confirmationsOfPeers() {
        long delayMs = OperatorStateTracker.CONFIRMATION_DELAY_MS;
        return new Object[][] {
            {FIRST, -1L, 0L, true},
            {SECOND, 300L, 0L, true},
            {SECOND, -1L, 0L, false},
            {SECOND, -1L, delayMs - 1, false},
            {SECOND, -1L, delayMs, true},
        };
    }

    @Test(dataProvider = "confirmationsOfPeers")
    public void peerThatStartedInTheGapIsTrusted(
            StoreEra era, long eraAgeMs, long afterNewEraMs, boolean trusted) {
        mTracker.noteEra(SECOND, NEW_ERA_MS);

        assertEquals(mTracker.trusts(era, eraAgeMs, NEW_ERA_MS + afterNewEraMs), trusted);
    }

    @Test
    public void instanceThatStartsLearnsTheAgeOfTheEraFromAPeer() {
        OperatorStateTracker started = new OperatorStateTracker();
        StorePosition found = new StorePosition(SECOND, 20, 6);
        started.offer(found, false, NEW_ERA_MS);
        assertTrue(started.confirms(found, NEW_ERA_MS), "its first era may have begun long ago");

        started.noteEraAge(SECOND, 400, NEW_ERA_MS);

        assertFalse(started.confirms(found, NEW_ERA_MS + 500));
        assertTrue(started.confirms(found, NEW_ERA_MS + 600));
    }

    /** Lists when a response of a new era lacks a mark, and whether the mark stays. */
    @DataProvider
    public Object[][] missingMarks() {
        return new Object[][] {
            {0, true},
            {OperatorStateTracker.REMOVAL_DELAY_MS - 1, true},
            {OperatorStateTracker.REMOVAL_DELAY_MS, false},
        };
    }

    @Test(dataProvider = "missingMarks")
    public void evacuationThatTheCopyLacksIsForgotten(long eraAgeMs, boolean stays) {
        mTracker.updateEvacuations(FIRST, Map.of(DOMAIN, FIRST), 0, 0);
        mTracker.noteEra(SECOND, NEW_ERA_MS);
        long nowMs = NEW_ERA_MS + eraAgeMs;
        mTracker.updateEvacuations(SECOND, Map.of(), nowMs, nowMs);

        assertEquals(mTracker.evacuations().keySet(), stays ? Set.of(DOMAIN) : Set.of());
    }

    @Test
    public void evacuationEndsByAnAnswerThatWasCompleteBeforeItWasNamed() {
        mTracker.updateEvacuations(FIRST, Map.of(DOMAIN, FIRST), 500, 600);
        mTracker.updateEvacuations(FIRST, Map.of(), 550, 700);
        assertEquals(mTracker.evacuations().keySet(), Set.of(DOMAIN));

        mTracker.updateEvacuations(FIRST, Map.of(), 601, 800);
        assertEquals(mTracker.evacuations().keySet(), Set.of());
    }
}
