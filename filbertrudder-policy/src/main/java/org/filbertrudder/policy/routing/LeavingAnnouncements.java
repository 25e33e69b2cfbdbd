package org.filbertrudder.policy.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import org.filbertrudder.model.EndpointId;

/**
 * Remembers which endpoints have said in an answer that they leave.
 *
 * <p>The announcement counts for one start of an endpoint: after a restart under the same id it has
 * to be repeated. It is remembered apart from the registrations, as these may lapse and come back.
 */
final class LeavingAnnouncements {

    /** Far longer than an endpoint serves after it has announced that it leaves, in ms. */
    static final long LIFETIME_MS = 600_000;

    /** The announcements that are remembered at once; the oldest is dropped first. */
    private static final int MAX_REMEMBERED = 10_000;

    private final Map<EndpointId, Announcement> mAnnounced = new LinkedHashMap<>();

    /** Notes that the endpoint which started at the time has announced that it leaves. */
    void add(EndpointId endpoint, long startedMs, long nowMs) {
        mAnnounced.remove(endpoint);
        mAnnounced.put(endpoint, new Announcement(startedMs, nowMs));
        while (mAnnounced.size() > MAX_REMEMBERED) {
            mAnnounced.remove(mAnnounced.keySet().iterator().next());
        }
    }

    /** Returns whether the endpoint, in this start, has announced that it leaves. */
    boolean contains(EndpointId endpoint, long startedMs, long nowMs) {
        Announcement announcement = mAnnounced.get(endpoint);
        return announcement != null
                && announcement.startedMs() == startedMs
                && nowMs - announcement.atMs() < LIFETIME_MS;
    }

    private record Announcement(long startedMs, long atMs) {}
}
