package org.filbertrudder.policy.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import org.filbertrudder.model.EndpointId;

/**
 * Stores which endpoints have announced in a response that they are leaving.
 *
 * <p>An announcement applies to one process of an endpoint: after a restart under the same id, the
 * endpoint must announce again. Announcements are stored apart from the registrations because a
 * registration may expire and be renewed while the process runs.
 */
final class LeavingAnnouncements {

    /** Far longer than an endpoint serves after its announcement, in milliseconds. */
    static final long LIFETIME_MS = 600_000;

    /** The maximum number of stored announcements; the oldest is dropped first. */
    private static final int MAX_ANNOUNCEMENTS = 10_000;

    private final Map<EndpointId, Announcement> mAnnouncements = new LinkedHashMap<>();

    /** Records that the endpoint process with this start time has announced that it is leaving. */
    void add(EndpointId endpoint, long startedMs, long nowMs) {
        mAnnouncements.remove(endpoint);
        mAnnouncements.put(endpoint, new Announcement(startedMs, nowMs));
        while (mAnnouncements.size() > MAX_ANNOUNCEMENTS) {
            mAnnouncements.remove(mAnnouncements.keySet().iterator().next());
        }
    }

    /** Returns whether the endpoint process with this start time has announced its leaving. */
    boolean contains(EndpointId endpoint, long startedMs, long nowMs) {
        Announcement announcement = mAnnouncements.get(endpoint);
        return announcement != null
                && announcement.startedMs() == startedMs
                && nowMs - announcement.announcedMs() < LIFETIME_MS;
    }

    private record Announcement(long startedMs, long announcedMs) {}
}
