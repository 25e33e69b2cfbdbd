package org.filbertrudder.policy.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Keeps the places of refused requests for callers that return when they were told to.
 *
 * <p>A caller that returns early loses its place, so frequent retries gain nothing.
 */
final class ReturnPlaces {

    /** The time before the stated retry time from which a place is given back, in ms. */
    static final long EARLY_MS = 100;

    /** The time after the stated retry time until which a place is given back, in ms. */
    static final long LATE_MS = 1_500;

    /** The maximum number of places; bounds the memory used for callers that never return. */
    static final int MAX_PLACES = 4_096;

    private final Map<Long, Place> mPlaces = new LinkedHashMap<>();
    private long mUsed;

    /** Keeps the place of a refused request. */
    void keep(long digest, double placeMs, long retryAfterMs, long nowMs) {
        mPlaces.remove(digest);
        mPlaces.put(digest, new Place(placeMs, nowMs + retryAfterMs));
        if (mPlaces.size() > MAX_PLACES) {
            mPlaces.remove(mPlaces.keySet().iterator().next());
        }
    }

    /** Returns whether a place is kept for the request. */
    boolean contains(long digest, long nowMs) {
        Place place = mPlaces.get(digest);
        return place != null && !place.isExpired(nowMs);
    }

    /** Removes the place of the request and returns it if the request returns in time. */
    OptionalDouble take(long digest, long nowMs) {
        Place place = mPlaces.remove(digest);
        if (place == null || place.isExpired(nowMs) || nowMs < place.retryAtMs - EARLY_MS) {
            return OptionalDouble.empty();
        }
        mUsed++;
        return OptionalDouble.of(place.placeMs);
    }

    /** Returns the number of places that can still be used. */
    long kept(long nowMs) {
        return mPlaces.values().stream().filter(place -> !place.isExpired(nowMs)).count();
    }

    /** Returns the number of places that were given back so far. */
    long used() {
        return mUsed;
    }

    private record Place(double placeMs, long retryAtMs) {

        boolean isExpired(long nowMs) {
            return nowMs > retryAtMs + LATE_MS;
        }
    }
}
