package org.filbertrudder.policy.freshness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests for how long endpoints without a registration are kept. */
public class ReregistrationWindowTest {

    private static final RefreshSchedule SCHEDULE = RefreshSchedule.forBound(4_000);
    private static final long LONGEST_MS =
            ReregistrationWindow.REREGISTRATION_MS + SCHEDULE.relayTimeoutMs();
    private static final long HEARTBEAT_MS = 1_200;
    private static final long LONGEST_DOUBT_MS = 3_500;

    private ReregistrationWindow mWindow;

    @BeforeMethod
    public void createWindow() {
        mWindow = new ReregistrationWindow(SCHEDULE, HEARTBEAT_MS, LONGEST_DOUBT_MS);
        mWindow.noteList(1_000, 0, 1_000);
    }

    /** Lists failed reads, unanswered reads, the time of the next list and that of the end. */
    @DataProvider
    public Object[][] gaps() {
        return new Object[][] {
            // Without a failed read, the gap says nothing about the store.
            {0, 0, 9_000, 9_000},
            {5, 0, 9_000, 9_000 + LONGEST_MS},
            {0, 2, 9_000, 9_000 + LONGEST_MS},
            {1, 1, 9_000, 9_000 + LONGEST_MS},
            // No registration expires in so short a gap, or others read the store meanwhile.
            {5, 0, 3_300, 3_300},
            {5, 0, 3_800, 3_800},
            // One failed read may have a cause of its own.
            {1, 0, 4_000, 1_000 + LONGEST_DOUBT_MS},
            {1, 0, 9_000, 9_000},
        };
    }

    @Test(dataProvider = "gaps")
    public void opensAfterAnOutage(int failed, int unanswered, long listMs, long endMs) {
        for (int i = 0; i < failed; i++) {
            mWindow.noteFailedRead(1_100 + i);
        }

        mWindow.noteList(listMs, unanswered, listMs);

        assertEquals(mWindow.remainingMs(listMs), endMs - listMs);
        assertEquals(mWindow.isOpen(listMs), endMs > listMs);
    }

    @Test
    public void endsWithAListThatEndpointsHadTimeToRegisterFor() {
        mWindow.open(9_000);
        long registeredByMs = 9_000 + ReregistrationWindow.REREGISTRATION_MS;

        mWindow.noteList(registeredByMs - 1, 0, registeredByMs + 500);
        assertTrue(mWindow.isOpen(registeredByMs + 500));
        mWindow.noteList(registeredByMs, 0, registeredByMs + 600);
        assertFalse(mWindow.isOpen(registeredByMs + 600));
    }

    @Test
    public void failureOfAReadThatBeganBeforeTheListDoesNotCount() {
        mWindow.noteFailedRead(900);

        assertFalse(mWindow.hasFailedReads());
    }

    @Test
    public void listsThatPeersHaveReadMeanwhileShowThatTheStoreWasAvailable() {
        mWindow.noteFailedRead(2_200);
        mWindow.noteFailedRead(2_700);
        mWindow.noteList(3_000, 0, 3_100);
        mWindow.noteFailedRead(3_200);
        mWindow.noteFailedRead(3_700);
        mWindow.noteList(5_000, 0, 5_100);

        assertFalse(mWindow.isOpen(5_100));
    }

    @Test
    public void opensWhenTheStoreReturnsFromACopy() {
        mWindow.open(2_000);

        assertTrue(mWindow.isOpen(2_000 + ReregistrationWindow.REREGISTRATION_MS - 1));
    }
}
