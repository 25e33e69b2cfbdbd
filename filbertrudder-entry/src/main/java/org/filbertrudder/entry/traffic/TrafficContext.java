package org.filbertrudder.entry.traffic;

import io.vertx.core.Vertx;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.filbertrudder.entry.control.ControlLoop;
import org.filbertrudder.entry.control.ControlSnapshot;
import org.filbertrudder.store.Store;

/**
 * Gives the traffic threads, which all share it, access to the rest of the instance.
 *
 * @param vertx the Vert.x instance that runs timers and connections
 * @param control the control loop, which reserves tokens
 * @param snapshots returns the newest snapshot of the control loop
 * @param store the key-value store that holds the claims on idempotency keys
 * @param metrics the instance's metrics
 * @param clockMs a monotonic clock in milliseconds
 */
public record TrafficContext(
        Vertx vertx,
        ControlLoop control,
        Supplier<ControlSnapshot> snapshots,
        Store store,
        TrafficMetrics metrics,
        LongSupplier clockMs) {

    ControlSnapshot snapshot() {
        return snapshots.get();
    }

    long nowMs() {
        return clockMs.getAsLong();
    }
}
