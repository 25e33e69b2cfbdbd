package org.filbertrudder.gateway.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.policy.scheduling.SchedulerState;

/** Publishes the metrics of the scheduled services; the others have none. */
final class StartMetrics {

    /** The scheduler treats ranks above this one alike. */
    private static final int MAX_RANK = 5;

    private static final String WAITING_BY_RANK = "starts_waiting_rank_";

    private static final SchedulerState NONE =
            new SchedulerState(0, Map.of(), Map.of(), 0, 0, 0, 0, 0, 0, 0, 0);

    private final GatewayMetrics mMetrics;
    private final Map<ServiceId, Published> mStates = new HashMap<>();

    StartMetrics(GatewayMetrics metrics) {
        mMetrics = metrics;
    }

    /** Publishes the state of this instance's scheduler of a service. */
    void publish(ServiceId service, SchedulerState state) {
        mStates.computeIfAbsent(service, this::register).mState = state;
    }

    /** Publishes that this instance no longer schedules the service. */
    void withdraw(ServiceId service) {
        publish(service, NONE);
    }

    /** Counts a change of the scheduler that this instance asks. */
    void countSchedulerChange(ServiceId service) {
        mMetrics.counter(name("scheduler_changes", service)).inc();
    }

    /** Counts a request that was routed without a scheduler. */
    void countRoutedWithoutScheduler(ServiceId service) {
        mMetrics.counter(name("starts_routed_without_scheduler", service)).inc();
    }

    private Published register(ServiceId service) {
        Published published = new Published();
        gauge("starts_waiting", service, published, SchedulerState::waiting);
        for (int rank = 0; rank <= MAX_RANK; rank++) {
            int each = rank;
            gauge(
                    WAITING_BY_RANK + rank,
                    service,
                    published,
                    state -> state.waitingByRank().getOrDefault(each, 0));
        }
        gauge("starts_decided", service, published, SchedulerState::started);
        gauge("starts_refused_no_room_in_time", service, published, SchedulerState::refusedNoRoom);
        gauge(
                "starts_refused_cannot_end_in_time",
                service,
                published,
                SchedulerState::refusedCannotEnd);
        gauge("starts_forwarded", service, published, SchedulerState::forwarded);
        gauge("start_places_kept", service, published, SchedulerState::placesKept);
        gauge("start_places_used", service, published, SchedulerState::placesUsed);
        gauge("start_room_tokens", service, published, SchedulerState::roomTokens);
        return published;
    }

    private void gauge(
            String name,
            ServiceId service,
            Published published,
            ToLongFunction<SchedulerState> value) {
        mMetrics.gauge(name(name, service), () -> value.applyAsLong(published.mState));
    }

    private static String name(String name, ServiceId service) {
        return name + "{service=\"" + service + "\"}";
    }

    /** Holds the last published state, which the management thread reads. */
    private static final class Published {

        private volatile SchedulerState mState = NONE;
    }
}
