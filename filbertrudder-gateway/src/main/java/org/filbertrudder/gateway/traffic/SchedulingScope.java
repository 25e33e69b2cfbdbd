package org.filbertrudder.gateway.traffic;

import java.util.HashSet;
import java.util.Set;
import org.filbertrudder.model.ServiceId;

/**
 * Tells for which services a scheduler decides on the starts of prompts: those whose endpoints have
 * stated the pace of their machine, or all if endpoints crash when their memory is exceeded.
 */
final class SchedulingScope {

    private final boolean mAllServices;
    private final Set<ServiceId> mServices = new HashSet<>();

    /**
     * Creates the scope.
     *
     * @param limitsUnreadBytes whether endpoints limit unread bytes and crash when they hold more
     *     than their memory
     */
    SchedulingScope(boolean limitsUnreadBytes) {
        mAllServices = limitsUnreadBytes;
    }

    /** Returns whether the service's requests with a prompt wait for a scheduler. */
    boolean isScheduled(ServiceId service) {
        return mAllServices || mServices.contains(service);
    }

    /** Records what a response to a prompt of the service states. */
    void noteStatement(ServiceId service, LoadStatement statement) {
        if (statement.pacePercent().isPresent()) {
            mServices.add(service);
        }
    }

    /** Records that another instance of the region schedules the service. */
    void noteScheduledElsewhere(ServiceId service) {
        mServices.add(service);
    }
}
