package org.filbertrudder.policy.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;

/**
 * Schedules the requests of all instances to endpoints with a limit, at the instance that is
 * responsible for the endpoint.
 *
 * <p>Slots for requests are at least the reciprocal of the limit apart, whichever instance they are
 * reserved for, so that no burst is possible. The first slot of an endpoint is delayed until the
 * slots that a previous scheduler has reserved have passed.
 *
 * <p>Instances for which no slot is free yet form a line, so that each learns when its turn comes.
 * One that does not ask again loses its place.
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

    /** The time without a request after which an instance loses its place, in milliseconds. */
    static final long LINE_LIFETIME_MS = 2 * SendPermits.MAX_DEFERRED_INTERVAL_MS;

    /** How long after its turn an instance keeps its place, in milliseconds. */
    private static final long LINE_GRACE_MS = 600;

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
     * @param requester the instance that the slots are for
     * @param perSecond the requests per second that this instance may schedule now
     * @param wanted the number of requests to send
     */
    public Reservation reserve(
            EndpointId endpoint, InstanceId requester, double perSecond, int wanted, long nowMs) {
        double intervalMs = 1_000 / Math.max(MIN_PER_SECOND, perSecond);
        Schedule schedule =
                mSchedules.computeIfAbsent(
                        endpoint, id -> new Schedule(nowMs + FIRST_SLOT_DELAY_MS));
        schedule.mLastUsedMs = nowMs;
        double slotMs = Math.max(nowMs, schedule.mLastMs + schedule.mLastCount * intervalMs);
        double turnMs = slotMs + schedule.countAhead(requester, nowMs) * intervalMs;
        if (turnMs - nowMs > MAX_AHEAD_MS) {
            schedule.mLine.put(requester, new Place(turnMs, nowMs));
            return new Reservation(0, (long) Math.ceil(turnMs - nowMs));
        }
        schedule.mLine.remove(requester);
        int maxCount = Math.max(1, (int) (MAX_SPAN_MS / intervalMs));
        int count = Math.max(1, Math.min(wanted, maxCount));
        schedule.mLastMs = slotMs;
        schedule.mLastCount = count;
        return new Reservation(count, (long) Math.ceil(slotMs - nowMs));
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

    /**
     * The place of an instance in the line.
     *
     * @param turnMs when its turn is expected
     * @param askedMs when it asked last
     */
    private record Place(double turnMs, long askedMs) {}

    /** Holds the last reserved slots of an endpoint and the instances that wait for the next. */
    private static final class Schedule {

        private final Map<InstanceId, Place> mLine = new HashMap<>();
        private double mLastMs;
        private int mLastCount;
        private long mLastUsedMs;

        Schedule(double firstSlotMs) {
            mLastMs = firstSlotMs;
        }

        /** Returns the number of instances whose turn comes before that of the requester. */
        int countAhead(InstanceId requester, long nowMs) {
            mLine.values()
                    .removeIf(
                            place ->
                                    nowMs > place.turnMs() + LINE_GRACE_MS
                                            || nowMs - place.askedMs() > LINE_LIFETIME_MS);
            Place own = mLine.get(requester);
            return (int)
                    mLine.values().stream()
                            .filter(place -> own == null || place.turnMs() < own.turnMs())
                            .count();
        }
    }
}
