package org.filbertrudder.policy.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.filbertrudder.model.EndpointId;

/**
 * Schedules the requests of all instances to endpoints with a limit, at the instance that is
 * responsible for the endpoint.
 *
 * <p>Slots for requests are at least the reciprocal of the limit apart, whichever instance they are
 * reserved for, so that no burst is possible. The first slot of an endpoint is delayed until the
 * slots that a previous scheduler has reserved have passed.
 */
public final class SendSlots {

    /**
     * The rate for endpoints with a lower limit, in requests per second. An endpoint that gets no
     * requests could not show that its limit has ended.
     */
    static final double MIN_PER_SECOND = 0.2;

    /** The longest time that a slot may be reserved ahead, in milliseconds. */
    static final long MAX_AHEAD_MS = 1_000;

    /** The delay before the first slot that a new scheduler reserves, in milliseconds. */
    static final long FIRST_SLOT_DELAY_MS = MAX_AHEAD_MS;

    /** The time that the slots of one reservation may span, in milliseconds. */
    static final long MAX_SPAN_MS = 250;

    /** How long the schedule of an endpoint without requests is kept, in milliseconds. */
    private static final long IDLE_LIFETIME_MS = 60_000;

    private final Map<EndpointId, Schedule> mSchedules = new HashMap<>();

    /**
     * Holds the result of a reservation.
     *
     * @param count the number of slots; 0 if none can be reserved yet
     * @param waitMs the time until the first slot, in milliseconds, also if it is not reserved
     */
    public record Reservation(int count, long waitMs) {}

    /**
     * Reserves slots of an endpoint.
     *
     * @param perSecond the requests per second that this instance may schedule now
     * @param wanted the number of requests to send
     */
    public Reservation reserve(EndpointId endpoint, double perSecond, int wanted, long nowMs) {
        double intervalMs = 1_000 / Math.max(MIN_PER_SECOND, perSecond);
        Schedule schedule =
                mSchedules.computeIfAbsent(
                        endpoint, id -> new Schedule(nowMs + FIRST_SLOT_DELAY_MS));
        schedule.mLastUsedMs = nowMs;
        double slotMs = Math.max(nowMs, schedule.mLastMs + schedule.mLastCount * intervalMs);
        long waitMs = (long) Math.ceil(slotMs - nowMs);
        if (waitMs > MAX_AHEAD_MS) {
            return new Reservation(0, waitMs);
        }
        int maxCount = Math.max(1, (int) (MAX_SPAN_MS / intervalMs));
        int count = Math.max(1, Math.min(wanted, maxCount));
        schedule.mLastMs = slotMs;
        schedule.mLastCount = count;
        return new Reservation(count, waitMs);
    }

    /**
     * Drops the schedules of endpoints that this instance is no longer responsible for, and those
     * that are no longer used.
     */
    public void retainIf(Predicate<EndpointId> responsible, long nowMs) {
        mSchedules
                .entrySet()
                .removeIf(
                        entry ->
                                nowMs - entry.getValue().mLastUsedMs > IDLE_LIFETIME_MS
                                        || !responsible.test(entry.getKey()));
    }

    /** Returns the number of endpoints that this instance schedules. */
    public int size() {
        return mSchedules.size();
    }

    /** Holds the last reserved slots of an endpoint. */
    private static final class Schedule {

        private double mLastMs;
        private int mLastCount;
        private long mLastUsedMs;

        Schedule(double firstSlotMs) {
            mLastMs = firstSlotMs;
        }
    }
}
