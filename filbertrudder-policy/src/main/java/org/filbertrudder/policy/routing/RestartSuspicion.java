package org.filbertrudder.policy.routing;

import java.util.OptionalLong;

/**
 * Decides whether an endpoint that has refused a connection, or has ended or raised the limit that
 * it stated, may have restarted.
 *
 * <p>An endpoint with a low limit may restart unnoticed, as no instance has a connection to it. A
 * new process states no limit or another one.
 *
 * <p>A restarted endpoint is cold, but its registration shows this only after the next read. Until
 * then it is treated as cold, unless there is evidence that the process is still the same one: it
 * responds to a request that it received before, or its registration has not changed some time
 * after it accepts connections again.
 */
final class RestartSuspicion {

    /** The time within which a process that accepts connections has registered, in milliseconds. */
    static final long REGISTRATION_MS = 500;

    private static final long NEVER = Long.MIN_VALUE;

    private long mRefusedMs = NEVER;
    private long mAcceptedMs = NEVER;

    /** Records that the endpoint has refused a connection. */
    void noteRefused(long nowMs) {
        mRefusedMs = nowMs;
        mAcceptedMs = NEVER;
    }

    /** Records that the endpoint has accepted a connection. */
    void noteAccepted(long nowMs) {
        if (isRefusing()) {
            mAcceptedMs = nowMs;
        }
    }

    /**
     * Records the suspicion of another instance, if this one has none.
     *
     * @param acceptedMs when the endpoint accepted a connection after the refusal; empty if it has
     *     not yet
     */
    void adopt(long refusedMs, OptionalLong acceptedMs) {
        if (mRefusedMs == NEVER) {
            mRefusedMs = refusedMs;
            mAcceptedMs = acceptedMs.orElse(NEVER);
        }
    }

    /**
     * Records that the endpoint has ended or raised its limit.
     *
     * @param statedMs when the former limit was last known; the process may have ended since then
     * @param relaxedMs when the endpoint's response showed the change
     */
    void noteLimitRelaxed(long statedMs, long relaxedMs) {
        if (!isRefusing()) {
            mRefusedMs = statedMs;
            mAcceptedMs = relaxedMs;
        }
    }

    /**
     * Returns from when on the process may have ended: when it refused a connection or last stated
     * its former limit; empty if nothing is suspected.
     */
    OptionalLong refusedMs() {
        return mRefusedMs == NEVER ? OptionalLong.empty() : OptionalLong.of(mRefusedMs);
    }

    /** Returns when the endpoint accepted a connection after it had refused one. */
    OptionalLong acceptedMs() {
        return mAcceptedMs == NEVER ? OptionalLong.empty() : OptionalLong.of(mAcceptedMs);
    }

    /** Records a response to a request that was sent at the given time. */
    void noteResponse(long sentMs) {
        if (sentMs < mRefusedMs) {
            clear();
        }
    }

    /**
     * Records that the registration shows the same process.
     *
     * @param asOfMs when the read of the registration began
     */
    void noteUnchangedRegistration(long asOfMs) {
        if (mAcceptedMs != NEVER && asOfMs >= mAcceptedMs + REGISTRATION_MS) {
            clear();
        }
    }

    /** Ends the suspicion. */
    void clear() {
        mRefusedMs = NEVER;
        mAcceptedMs = NEVER;
    }

    /** Returns whether the endpoint has not accepted a connection since it refused one. */
    boolean isRefusing() {
        return mRefusedMs != NEVER && mAcceptedMs == NEVER;
    }

    /**
     * Returns whether the endpoint may have restarted and may still be cold.
     *
     * @param warmupMs the time for which an endpoint is cold after its start, in milliseconds
     */
    boolean isActive(long warmupMs, long nowMs) {
        return mRefusedMs != NEVER && (mAcceptedMs == NEVER || nowMs - mAcceptedMs < warmupMs);
    }
}
