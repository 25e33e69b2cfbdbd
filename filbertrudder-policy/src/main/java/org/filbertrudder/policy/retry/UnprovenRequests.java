package org.filbertrudder.policy.retry;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.filbertrudder.model.EndpointId;

/**
 * Keeps the copies of a request on one endpoint until one of them has run to its end.
 *
 * <p>Copies that are sent at the same moment could otherwise crash an endpoint each before anybody
 * knows of the first crash.
 */
public final class UnprovenRequests {

    private final int mCapacity;
    private final Map<RequestDigest, Running> mRunning = new HashMap<>();
    private final LinkedHashMap<RequestDigest, Outcome> mOutcomes =
            new LinkedHashMap<>(16, 0.75f, true);

    /** Creates a memory for the outcomes of a number of requests. */
    public UnprovenRequests(int capacity) {
        mCapacity = capacity;
    }

    /** Returns the only endpoint where the request may run now; empty if it may run anywhere. */
    public Optional<EndpointId> onlyEndpoint(RequestDigest request) {
        if (mOutcomes.get(request) == Outcome.PROVED) {
            return Optional.empty();
        }
        return Optional.ofNullable(mRunning.get(request)).map(running -> running.mEndpoint);
    }

    /** Notes that a copy of the request has started. */
    public void started(RequestDigest request, EndpointId endpoint) {
        mRunning.computeIfAbsent(request, key -> new Running(endpoint)).mCopies++;
    }

    /** Notes that a copy of the request runs no longer. */
    public void ended(RequestDigest request) {
        Running running = mRunning.get(request);
        if (running != null && --running.mCopies == 0) {
            mRunning.remove(request);
        }
    }

    /** Notes that the request has run to its end without harm. */
    public void proved(RequestDigest request) {
        note(request, Outcome.PROVED);
    }

    /** Notes that the request has crashed an endpoint on which it ran alone. */
    public void convicted(RequestDigest request) {
        note(request, Outcome.CONVICTED);
    }

    /** Returns whether the request must not run again. */
    public boolean isConvicted(RequestDigest request) {
        return mOutcomes.get(request) == Outcome.CONVICTED;
    }

    /** Notes that the request ran on an endpoint that crashed. */
    public void suspected(RequestDigest request) {
        if (!isConvicted(request)) {
            note(request, Outcome.SUSPECTED);
        }
    }

    /** Returns whether the request ran at a crash and has not run to its end since. */
    public boolean isSuspected(RequestDigest request) {
        return mOutcomes.get(request) == Outcome.SUSPECTED;
    }

    private void note(RequestDigest request, Outcome outcome) {
        mOutcomes.put(request, outcome);
        if (mOutcomes.size() > mCapacity) {
            mOutcomes.remove(mOutcomes.keySet().iterator().next());
        }
    }

    private enum Outcome {
        PROVED,
        SUSPECTED,
        CONVICTED
    }

    /** Counts the copies that run on an endpoint. */
    private static final class Running {

        private final EndpointId mEndpoint;
        private int mCopies;

        Running(EndpointId endpoint) {
            mEndpoint = endpoint;
        }
    }
}
