package org.filbertrudder.app;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.Test;

/** Tests that a planned stop ends within the grace period whatever its steps do. */
public class StopDeadlineTest {

    private static final long GRACE_MS = 2_400;
    private static final long TEST_TIMEOUT_MS = 2 * GRACE_MS;

    @Test(timeOut = TEST_TIMEOUT_MS)
    public void stepThatNeverEndsKeepsTheProcess() {
        StopDeadline.await(new CompletableFuture<>(), GRACE_MS);
    }

    @Test(timeOut = TEST_TIMEOUT_MS)
    public void failedStepKeepsTheProcess() {
        StopDeadline.await(
                CompletableFuture.failedFuture(new IllegalStateException("step")),
                10 * TEST_TIMEOUT_MS);
    }

    @Test(timeOut = TEST_TIMEOUT_MS)
    public void stopThatIsInTimeIsCompleted() {
        AtomicBoolean stopped = new AtomicBoolean();
        StopDeadline.await(
                CompletableFuture.runAsync(() -> stopped.set(true)), 10 * TEST_TIMEOUT_MS);
        assertTrue(stopped.get());
    }
}
