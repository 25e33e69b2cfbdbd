package org.filbertrudder.policy.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.retry.SuspectRequests.Decision;
import org.testng.annotations.Test;

/** Tests the retry budget and the tracking of requests that crash endpoints. */
public class RetryTest {

    private static final AccountId ACCOUNT = AccountId.of("club");
    private static final RequestDigest REQUEST = new RequestDigest(ACCOUNT, "digest");
    private static final long RETENTION_MS = 10_000;

    private static PeerMessage.CrashReport crash(String endpoint, boolean alone) {
        return crash(endpoint, 1_000, alone);
    }

    private static PeerMessage.CrashReport crash(String endpoint, long atMs, boolean alone) {
        return new PeerMessage.CrashReport(
                ACCOUNT, REQUEST.bodySha256(), EndpointId.of(endpoint), atMs, alone);
    }

    @Test
    public void limitsRetriesToAShareOfTheRequests() {
        RetryBudget budget = new RetryBudget();
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.recordRequest(0);
            retries += budget.tryAcquireRetry(0.1, 0) ? 1 : 0;
        }

        assertTrue(retries <= 101, "retries: " + retries);
    }

    @Test
    public void limitsRetriesToAShareWhileAThirdOfTheRequestsFails() {
        RetryBudget budget = new RetryBudget();
        int retries = 0;
        int requests = 60_000;
        for (int i = 0; i < requests; i++) {
            long nowMs = i * 2L;
            budget.recordRequest(nowMs);
            boolean failed = i % 3 == 0;
            retries += failed && budget.tryAcquireRetry(0.1, nowMs) ? 1 : 0;
        }

        assertTrue(retries <= requests / 10, "retries: " + retries);
    }

    @Test
    public void allowsAMinimumOfRetriesUnderLowLoad() {
        RetryBudget budget = new RetryBudget();
        for (int i = 0; i < 5; i++) {
            budget.recordRequest(0);
        }

        for (int i = 0; i < 5; i++) {
            assertTrue(budget.tryAcquireRetry(0.1, 100));
        }
    }

    @Test
    public void refusesARequestThatRanAloneDuringACrash() {
        SuspectRequests suspects = new SuspectRequests(10, RETENTION_MS);

        suspects.recordCrash(crash("one", true), 0);

        assertEquals(suspects.decisionFor(REQUEST, 1), Decision.REFUSED);
    }

    @Test
    public void allowsASuspectOnlyAloneAfterOneCrashAndRefusesItAfterTwo() {
        SuspectRequests suspects = new SuspectRequests(10, RETENTION_MS);
        assertEquals(suspects.decisionFor(REQUEST, 0), Decision.UNRESTRICTED);

        suspects.recordCrash(crash("one", false), 0);
        assertEquals(suspects.decisionFor(REQUEST, 1), Decision.EXCLUSIVE);

        suspects.recordCrash(crash("two", false), 2);
        assertEquals(suspects.decisionFor(REQUEST, 3), Decision.REFUSED);
    }

    @Test
    public void countsADuplicateCrashReportOnce() {
        SuspectRequests suspects = new SuspectRequests(10, RETENTION_MS);

        suspects.recordCrash(crash("one", false), 0);
        suspects.recordCrash(crash("one", false), 1);

        assertEquals(suspects.decisionFor(REQUEST, 2), Decision.EXCLUSIVE);
    }

    @Test
    public void removesSuspectsAfterTheRetentionTimeAndBeyondTheCapacity() {
        SuspectRequests suspects = new SuspectRequests(2, RETENTION_MS);
        suspects.recordCrash(crash("one", true), 0);
        assertEquals(suspects.decisionFor(REQUEST, RETENTION_MS + 1), Decision.UNRESTRICTED);

        for (int i = 0; i < 5; i++) {
            suspects.recordCrash(
                    new PeerMessage.CrashReport(
                            ACCOUNT, "other" + i, EndpointId.of("e" + i), 1, true),
                    1);
        }

        assertEquals(suspects.size(), 2);
    }

    @Test
    public void countsCopiesInTheSameCrashOnceAndALaterCrashAgain() {
        SuspectRequests suspects = new SuspectRequests(10, RETENTION_MS);

        assertTrue(suspects.recordCrash(crash("one", 1_000, false), 0));
        assertFalse(suspects.recordCrash(crash("one", 1_400, false), 1));
        assertEquals(suspects.decisionFor(REQUEST, 2), Decision.EXCLUSIVE);

        assertTrue(suspects.recordCrash(crash("one", 9_000, false), 3));
        assertEquals(suspects.decisionFor(REQUEST, 4), Decision.REFUSED);
    }

    @Test
    public void restrictsCopiesToOneEndpointWhileTheyRun() {
        RequestCopyTracker tracker = new RequestCopyTracker(10);
        assertEquals(tracker.onlyEndpoint(REQUEST), Optional.empty());

        tracker.copyStarted(REQUEST, EndpointId.of("one"));
        tracker.copyStarted(REQUEST, EndpointId.of("one"));
        tracker.copyEnded(REQUEST);
        assertEquals(tracker.onlyEndpoint(REQUEST), Optional.of(EndpointId.of("one")));

        tracker.copyEnded(REQUEST);
        assertEquals(tracker.onlyEndpoint(REQUEST), Optional.empty());
    }

    @Test
    public void allowsACompletedRequestOnEveryEndpoint() {
        RequestCopyTracker tracker = new RequestCopyTracker(10);
        tracker.copyStarted(REQUEST, EndpointId.of("one"));

        tracker.markCompleted(REQUEST);

        assertEquals(tracker.onlyEndpoint(REQUEST), Optional.empty());
        assertFalse(tracker.isCrashCause(REQUEST));
        tracker.markCrashCause(REQUEST);
        assertTrue(tracker.isCrashCause(REQUEST));
    }

    @Test
    public void suspectsARequestThatRanDuringACrashUntilItCompletes() {
        RequestCopyTracker tracker = new RequestCopyTracker(10);

        tracker.markSuspect(REQUEST);
        assertTrue(tracker.isSuspect(REQUEST));

        tracker.markCompleted(REQUEST);
        assertFalse(tracker.isSuspect(REQUEST));

        tracker.markCrashCause(REQUEST);
        tracker.markSuspect(REQUEST);
        assertTrue(tracker.isCrashCause(REQUEST));
    }
}
