package org.filbertrudder.policy.retry;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.filbertrudder.model.EndpointId;

/**
 * Restricts the concurrent copies of a request to one endpoint until one of them has completed.
 *
 * <p>Copies that are sent at the same time could otherwise each crash a different endpoint before
 * the first crash is reported.
 */
public final class RequestCopyTracker {

    private final int mMaxOutcomes;
    private final Map<RequestDigest, RunningCopies> mRunning = new HashMap<>();
    private final LinkedHashMap<RequestDigest, Outcome> mOutcomes =
            new LinkedHashMap<>(16, 0.75f, true);

    /** Creates a tracker that keeps the outcomes of the given number of requests. */
    public RequestCopyTracker(int maxOutcomes) {
        mMaxOutcomes = maxOutcomes;
    }

    /** Returns the only endpoint that may run the request now; empty if every endpoint may. */
    public Optional<EndpointId> onlyEndpoint(RequestDigest request) {
        if (mOutcomes.get(request) == Outcome.COMPLETED) {
            return Optional.empty();
        }
        return Optional.ofNullable(mRunning.get(request)).map(running -> running.mEndpoint);
    }

    /** Records that a copy of the request has started on the endpoint. */
    public void copyStarted(RequestDigest request, EndpointId endpoint) {
        mRunning.computeIfAbsent(request, key -> new RunningCopies(endpoint)).mCount++;
    }

    /** Records that a copy of the request has ended, whatever its outcome. */
    public void copyEnded(RequestDigest request) {
        RunningCopies running = mRunning.get(request);
        if (running != null && --running.mCount == 0) {
            mRunning.remove(request);
        }
    }

    /** Records that the request has completed without a crash. */
    public void markCompleted(RequestDigest request) {
        recordOutcome(request, Outcome.COMPLETED);
    }

    /** Records that the request has crashed an endpoint on which it ran alone. */
    public void markCrashCause(RequestDigest request) {
        recordOutcome(request, Outcome.CAUSED_CRASH);
    }

    /** Returns whether the request has caused a crash and must not run again. */
    public boolean isCrashCause(RequestDigest request) {
        return mOutcomes.get(request) == Outcome.CAUSED_CRASH;
    }

    /** Records that the request was running on an endpoint when the endpoint crashed. */
    public void markSuspect(RequestDigest request) {
        if (!isCrashCause(request)) {
            recordOutcome(request, Outcome.SUSPECTED);
        }
    }

    /** Returns whether the request ran during a crash and has not completed since. */
    public boolean isSuspect(RequestDigest request) {
        return mOutcomes.get(request) == Outcome.SUSPECTED;
    }

    private void recordOutcome(RequestDigest request, Outcome outcome) {
        mOutcomes.put(request, outcome);
        if (mOutcomes.size() > mMaxOutcomes) {
            mOutcomes.remove(mOutcomes.keySet().iterator().next());
        }
    }

    private enum Outcome {
        COMPLETED,
        SUSPECTED,
        CAUSED_CRASH
    }

    /** Counts the copies of a request that run on an endpoint. */
    private static final class RunningCopies {

        private final EndpointId mEndpoint;
        private int mCount;

        RunningCopies(EndpointId endpoint) {
            mEndpoint = endpoint;
        }
    }
}
