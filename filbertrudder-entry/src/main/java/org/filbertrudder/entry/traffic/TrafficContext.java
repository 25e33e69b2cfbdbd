package org.filbertrudder.entry.traffic;

import io.vertx.core.Vertx;
import java.util.function.LongSupplier;
import org.filbertrudder.entry.control.ControlLoop;
import org.filbertrudder.entry.control.Snapshot;
import org.filbertrudder.store.Store;

/**
 * Gives the parts of a traffic thread access to the rest of the instance.
 *
 * @param vertx runs timers and connections
 * @param control the control loop
 * @param store the platform's store, for claims on idempotency keys
 * @param metrics the instance's metrics
 * @param clockMs a clock that never goes back, in milliseconds
 */
public record TrafficContext(
        Vertx vertx,
        ControlLoop control,
        Store store,
        TrafficMetrics metrics,
        LongSupplier clockMs) {

    Snapshot snapshot() {
        return control.snapshot();
    }

    long nowMs() {
        return clockMs.getAsLong();
    }
}
