package org.filbertrudder.policy.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.retry.SuspectRequests.Verdict;
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
            budget.noteRequest(0);
            retries += budget.tryRetry(0.1, 0) ? 1 : 0;
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
            budget.noteRequest(nowMs);
            boolean failed = i % 3 == 0;
            retries += failed && budget.tryRetry(0.1, nowMs) ? 1 : 0;
        }

        assertTrue(retries <= requests / 10, "retries: " + retries);
    }

    @Test
    public void allowsAMinimumOfRetriesUnderLowLoad() {
        RetryBudget budget = new RetryBudget();
        for (int i = 0; i < 5; i++) {
            budget.noteRequest(0);
        }

        for (int i = 0; i < 5; i++) {
            assertTrue(budget.tryRetry(0.1, 100));
        }
    }

    @Test
    public void refusesARequestThatRanAloneDuringACrash() {
        SuspectRequests suspects = new SuspectRequests(10, RETENTION_MS);

        suspects.note(crash("one", true), 0);

        assertEquals(suspects.verdict(REQUEST, 1), Verdict.REFUSE);
    }

    @Test
    public void allowsASuspectOnlyAloneAfterOneCrashAndRefusesItAfterTwo() {
        SuspectRequests suspects = new SuspectRequests(10, RETENTION_MS);
        assertEquals(suspects.verdict(REQUEST, 0), Verdict.FREE);

        suspects.note(crash("one", false), 0);
        assertEquals(suspects.verdict(REQUEST, 1), Verdict.ALONE);

        suspects.note(crash("two", false), 2);
        assertEquals(suspects.verdict(REQUEST, 3), Verdict.REFUSE);
    }

    @Test
    public void countsADuplicateCrashReportOnce() {
        SuspectRequests suspects = new SuspectRequests(10, RETENTION_MS);

        suspects.note(crash("one", false), 0);
        suspects.note(crash("one", false), 1);

        assertEquals(suspects.verdict(REQUEST, 2), Verdict.ALONE);
    }

    @Test
    public void removesSuspectsAfterTheRetentionTimeAndBeyondTheCapacity() {
        SuspectRequests suspects = new SuspectRequests(2, RETENTION_MS);
        suspects.note(crash("one", true), 0);
        assertEquals(suspects.verdict(REQUEST, RETENTION_MS + 1), Verdict.FREE);

        for (int i = 0; i < 5; i++) {
            suspects.note(
                    new PeerMessage.CrashReport(
                            ACCOUNT, "other" + i, EndpointId.of("e" + i), 1, true),
                    1);
        }

        assertEquals(suspects.size(), 2);
    }

    @Test
    public void countsCopiesInTheSameCrashOnceAndALaterCrashAgain() {
        SuspectRequests suspects = new SuspectRequests(10, RETENTION_MS);

        assertTrue(suspects.note(crash("one", 1_000, false), 0));
        assertFalse(suspects.note(crash("one", 1_400, false), 1));
        assertEquals(suspects.verdict(REQUEST, 2), Verdict.ALONE);

        assertTrue(suspects.note(crash("one", 9_000, false), 3));
        assertEquals(suspects.verdict(REQUEST, 4), Verdict.REFUSE);
    }

    @Test
    public void restrictsCopiesToOneEndpointWhileTheyRun() {
        UnprovenRequests requests = new UnprovenRequests(10);
        assertEquals(requests.onlyEndpoint(REQUEST), Optional.empty());

        requests.started(REQUEST, EndpointId.of("one"));
        requests.started(REQUEST, EndpointId.of("one"));
        requests.ended(REQUEST);
        assertEquals(requests.onlyEndpoint(REQUEST), Optional.of(EndpointId.of("one")));

        requests.ended(REQUEST);
        assertEquals(requests.onlyEndpoint(REQUEST), Optional.empty());
    }

    @Test
    public void allowsACompletedRequestOnEveryEndpoint() {
        UnprovenRequests requests = new UnprovenRequests(10);
        requests.started(REQUEST, EndpointId.of("one"));

        requests.proved(REQUEST);

        assertEquals(requests.onlyEndpoint(REQUEST), Optional.empty());
        assertFalse(requests.isConvicted(REQUEST));
        requests.convicted(REQUEST);
        assertTrue(requests.isConvicted(REQUEST));
    }

    @Test
    public void suspectsARequestThatRanDuringACrashUntilItCompletes() {
        UnprovenRequests requests = new UnprovenRequests(10);

        requests.suspected(REQUEST);
        assertTrue(requests.isSuspected(REQUEST));

        requests.proved(REQUEST);
        assertFalse(requests.isSuspected(REQUEST));

        requests.convicted(REQUEST);
        requests.suspected(REQUEST);
        assertTrue(requests.isConvicted(REQUEST));
    }
}
