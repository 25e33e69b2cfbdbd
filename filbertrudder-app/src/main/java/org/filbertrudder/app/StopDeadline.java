package org.filbertrudder.app;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.entry.log.LogSetup;
import org.filbertrudder.gateway.traffic.StopSchedule;

/** Bounds the time of all steps of a planned stop, the last log lines included. */
final class StopDeadline {

    private static final ComponentLogger LOG = ComponentLogger.of("stop");

    private StopDeadline() {}

    /**
     * Waits until the instance has stopped and its log lines are written, or until the process must
     * end as its grace period is about to pass.
     *
     * @param stopped completes when the instance has stopped
     * @param graceMs the time from this call until the process is killed, in milliseconds
     */
    static void await(CompletableFuture<?> stopped, long graceMs) {
        CompletableFuture<Void> flushed =
                stopped.handle(StopDeadline::logFailure).thenRunAsync(LogSetup::flush);
        long timeoutMs = StopSchedule.of(0, graceMs).haltMs();
        flushed.completeOnTimeout(null, timeoutMs, TimeUnit.MILLISECONDS).join();
    }

    private static Object logFailure(Object result, Throwable failure) {
        if (failure != null) {
            LOG.warn("A step of the stop has failed.", LogField.of("error", failure));
        }
        return result;
    }
}
