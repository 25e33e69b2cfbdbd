package org.filbertrudder.policy.routing;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.policy.RendezvousHashing;
import org.filbertrudder.policy.limits.LimitObservation;
import org.filbertrudder.policy.limits.SendPermits;

/**
 * Tracks the load, health and cached prompts of one endpoint, as seen by one traffic thread.
 *
 * <p>The load is the sum of this instance's own requests and the last report on those of the other
 * instances.
 */
public final class EndpointState {

    private static final long BASE_BACKOFF_MS = 250;
    private static final long MAX_BACKOFF_MS = 8_000;

    /**
     * Limits the backoff of an unreachable endpoint, in milliseconds. The limit is low because a
     * single connection attempt shows whether the endpoint has recovered.
     */
    private static final long MAX_UNREACHABLE_BACKOFF_MS = 1_000;

    private static final long SLOW_START_DURATION_MS = 5_000;
    private static final long REPORT_LIFETIME_MS = 5_000;
    private static final int SLOTS_PER_OVERCOMMITTED_REQUEST = 4;

    /**
     * The age of the last response after which a permit for an endpoint with a limit is used even
     * if other endpoints are preferred, so that the end of the limit is noticed.
     */
    private static final long LIMIT_CHECK_INTERVAL_MS = 5_000;

    private static final int USUAL_PACE_PERCENT = 100;

    /** How long a stated pace is used, in milliseconds; paces change within 600 ms. */
    private static final long PACE_LIFETIME_MS = 1_000;

    /** The longest pause that an endpoint may request, in milliseconds. */
    private static final long MAX_PAUSE_MS = 60_000;

    private final long mIdHash;
    private final PrefixCacheHints mPrefixHints = new PrefixCacheHints();
    private final EngineLoad mEngineLoad = new EngineLoad(mPrefixHints);
    private final WarmupRateLimiter mWarmupLimiter = new WarmupRateLimiter();
    private final RestartSuspicion mRestartSuspicion = new RestartSuspicion();
    private final FailureRate mFailureRate = new FailureRate();
    private Endpoint mEndpoint;
    private long mWarmupMs;
    private int mInFlight;
    private long mRequestsSent;
    private int mConsecutiveFailures;
    private long mBackoffUntilMs;
    private long mSlowStartFromMs = Long.MIN_VALUE / 2;
    private boolean mLeaving;
    private long mProcessStartedMs;
    private long mPausedUntilMs = Long.MIN_VALUE / 2;
    private SendPermits mPermits;
    private long mLimitStatedMs;
    private boolean mReservedExclusively;
    private int mRequestsOfOthers;
    private long mLoadReportedMs = Long.MIN_VALUE / 2;
    private long mBodyBytes;
    private long mMaxBodyBytes = Long.MAX_VALUE;
    private int mPacePercent = USUAL_PACE_PERCENT;
    private long mPaceStatedMs = Long.MIN_VALUE / 2;

    EndpointState(Endpoint endpoint, long nowMs) {
        mEndpoint = endpoint;
        mIdHash = RendezvousHashing.hash(endpoint.id().value());
    }

    /** Returns the rendezvous hash weight of the endpoint for the hash of an affinity key. */
    long affinity(long keyHash) {
        return RendezvousHashing.weight(keyHash, mIdHash);
    }

    /** Records that a prompt prefix was used by the endpoint or stored in its cache. */
    public void recordPrefixCached(String prefix, long nowMs) {
        mPrefixHints.markCached(prefix, nowMs);
    }

    /** Records that the endpoint has evicted a prompt prefix from its cache. */
    public void recordPrefixEvicted(String prefix) {
        mPrefixHints.markEvicted(prefix);
    }

    /** Returns whether the endpoint probably has the prompt prefix in its cache. */
    boolean hasProbablyCached(String prefix, long nowMs) {
        return mPrefixHints.contains(prefix, nowMs);
    }

    void setEndpoint(Endpoint endpoint, long nowMs) {
        if (endpoint.port() != mEndpoint.port() || !endpoint.host().equals(mEndpoint.host())) {
            mSlowStartFromMs = nowMs;
            mConsecutiveFailures = 0;
            mRestartSuspicion.clear();
        }
        mEndpoint = endpoint;
    }

    void setLeaving(boolean leaving) {
        mLeaving = leaving;
    }

    /** Sets when the endpoint's process started, in milliseconds since the epoch; 0 if unknown. */
    public void setProcessStartedMs(long startedMs) {
        if (startedMs != mProcessStartedMs) {
            mRestartSuspicion.clear();
        }
        mProcessStartedMs = startedMs;
    }

    /** Returns when the endpoint's process started, in milliseconds since the epoch. */
    public long processStartedMs() {
        return mProcessStartedMs;
    }

    /**
     * Sends no requests to the endpoint for the time that it has requested.
     *
     * <p>A pause is not a failure: the endpoint remains healthy and its prompt cache valid.
     *
     * @return whether the endpoint was not paused before
     */
    public boolean pause(long pauseMs, long nowMs) {
        boolean newlyPaused = nowMs >= mPausedUntilMs;
        mPausedUntilMs = Math.max(mPausedUntilMs, nowMs + Math.min(pauseMs, MAX_PAUSE_MS));
        return newlyPaused;
    }

    /** Returns the remaining time of the requested pause, in milliseconds; 0 if not paused. */
    long remainingPauseMs(long nowMs) {
        return Math.max(0, mPausedUntilMs - nowMs);
    }

    /**
     * Sets what is known about the request limit of the endpoint.
     *
     * <p>After a limit has ended, the load grows slowly, as after a failure.
     */
    void setLimit(LimitObservation observation, long nowMs) {
        mLimitStatedMs = observation.receivedMs();
        if (observation.perSecond().isEmpty()) {
            if (mPermits != null) {
                mSlowStartFromMs = nowMs;
            }
            mPermits = null;
        } else if (mPermits == null) {
            mPermits = new SendPermits(observation.perSecond().getAsDouble());
        } else {
            mPermits.setLimit(observation.perSecond().getAsDouble());
        }
    }

    /** Returns whether the endpoint has a request limit. */
    public boolean isLimited() {
        return mPermits != null;
    }

    /** Returns the permits to send requests to the endpoint; empty if it has no limit. */
    public Optional<SendPermits> permits() {
        return Optional.ofNullable(mPermits);
    }

    /** Records that a request could be sent to the endpoint if its limit permits it. */
    public void noteDemand(long nowMs) {
        if (mPermits != null) {
            mPermits.noteDemand(nowMs);
        }
    }

    /** Returns whether a request should be sent to find out whether the limit still applies. */
    boolean isLimitCheckDue(long nowMs) {
        return mPermits != null
                && mPermits.isAvailable(nowMs)
                && nowMs - mLimitStatedMs >= LIMIT_CHECK_INTERVAL_MS;
    }

    /**
     * Returns the time until the endpoint's requested pause has ended and its limit permits a
     * request, in milliseconds.
     *
     * @param ahead the number of requests that wait for the same endpoint
     */
    long remainingWaitMs(int ahead, long nowMs) {
        long permitWaitMs = mPermits == null ? 0 : mPermits.expectedWaitMs(ahead, nowMs);
        return Math.max(remainingPauseMs(nowMs), permitWaitMs);
    }

    /** Records whether a request that ran on the endpoint failed. */
    public void recordOutcome(boolean failed, long nowMs) {
        mFailureRate.recordOutcome(failed, nowMs);
    }

    /** Returns whether the endpoint has recently failed a large share of its requests. */
    public boolean isFailureRateHigh(long nowMs) {
        return mFailureRate.isHigh(nowMs);
    }

    /** Returns the endpoint's description. */
    public Endpoint endpoint() {
        return mEndpoint;
    }

    /** Returns the endpoint's id. */
    public EndpointId id() {
        return mEndpoint.id();
    }

    /** Returns whether the endpoint is shutting down and gets no new requests. */
    public boolean isLeaving() {
        return mLeaving;
    }

    /**
     * Returns whether the endpoint is neither leaving, nor in backoff, nor paused, and its limit
     * may permit a request.
     */
    public boolean isUsable(long nowMs) {
        return isHealthy(nowMs) && (mPermits == null || mPermits.isExpectedBy(nowMs));
    }

    /**
     * Returns whether the endpoint is neither leaving, nor in backoff, nor paused, and accepts
     * connections.
     */
    boolean isHealthy(long nowMs) {
        return !mLeaving
                && nowMs >= mBackoffUntilMs
                && nowMs >= mPausedUntilMs
                && !mRestartSuspicion.isRefusing();
    }

    /**
     * Returns whether the endpoint is usable, not reserved for an exclusive request, and below its
     * limits of concurrent requests, of their bodies' bytes, of the warm-up rate and of the rate
     * that it states.
     */
    public boolean canAcceptRequest(long nowMs) {
        return permitsStart(nowMs)
                && load(nowMs) < slotLimit(nowMs) + maxOvercommittedRequests(nowMs);
    }

    /**
     * Returns whether the endpoint accepts a request like {@link #canAcceptRequest(long)}, whatever
     * its limit of concurrent requests, which the scheduler of its service observes.
     */
    public boolean permitsStart(long nowMs) {
        return isUsable(nowMs)
                && !mReservedExclusively
                && mWarmupLimiter.allowsRequest(nowMs)
                && (!isRestartSuspected(nowMs) || mWarmupLimiter.hasPermit(nowMs))
                && (mPermits == null || mPermits.isAvailable(nowMs))
                && mBodyBytes < mMaxBodyBytes;
    }

    /** Returns whether the endpoint and its model engine can accept the prompt now. */
    public boolean canAcceptRequest(PromptDemand prompt, long nowMs) {
        return canAcceptRequest(nowMs) && mEngineLoad.canAccept(prompt);
    }

    /** Returns whether only the prefill backlog prevents the endpoint from accepting the prompt. */
    boolean isBlockedByPrefillBacklog(PromptDemand prompt, long nowMs) {
        return canAcceptRequest(nowMs) && mEngineLoad.isBlockedByPrefillBacklog(prompt);
    }

    /** Returns the expected time to first token of the prompt on the endpoint, in ms. */
    double startDelayMs(PromptDemand prompt, long nowMs) {
        return mEngineLoad.prefillBacklogMs() + mEngineLoad.prefillMs(prompt, nowMs);
    }

    /** Returns the tokens of the prompt's shared parts that the engine has probably not cached. */
    public long uncachedSharedTokens(PromptDemand prompt, long nowMs) {
        return mEngineLoad.uncachedSharedTokens(prompt, nowMs);
    }

    /** Returns the estimated prefill time of all prompts waiting in the engine, in ms. */
    public double prefillBacklogMs() {
        return mEngineLoad.prefillBacklogMs();
    }

    /** Returns the estimated prefill time of this instance's waiting prompts, in milliseconds. */
    public double ownPrefillMs() {
        return mEngineLoad.ownPrefillMs();
    }

    /**
     * Returns the pace of this instance's streams on the engine in milliseconds per event; empty if
     * none has been measured within the given time.
     */
    public OptionalDouble msPerEvent(long maxAgeMs, long nowMs) {
        return mEngineLoad.msPerEvent(maxAgeMs, nowMs);
    }

    /** Returns the time that this instance's stream with the least slack lacks, in ms. */
    public double missingMs() {
        return mEngineLoad.missingMs();
    }

    /** Returns the engine memory that the requests of all instances occupy, in tokens. */
    public long memoryTokens() {
        return mEngineLoad.memoryTokens();
    }

    /** Returns the engine memory that this instance's requests occupy, in tokens. */
    public long ownMemoryTokens() {
        return mEngineLoad.ownMemoryTokens();
    }

    /** Returns the total number of requests that this instance has sent to the endpoint. */
    long requestsSent() {
        return mRequestsSent;
    }

    /** Returns the number of this instance's requests in flight to the endpoint. */
    public int inFlight() {
        return mInFlight;
    }

    /** Sets the engine memory for running requests and cached prompt parts, in tokens. */
    public void setEngineMemory(long memoryTokens) {
        mEngineLoad.setEngineMemory(memoryTokens);
    }

    /** Records the load that the other instances have reported for the endpoint. */
    public void recordLoadOfOthers(int requests, double prefillMs, long memoryTokens, long nowMs) {
        mRequestsOfOthers = requests;
        mLoadReportedMs = nowMs;
        mEngineLoad.setLoadOfOthers(prefillMs, memoryTokens);
    }

    /** Adds a prompt without a deadline to the estimated load of the engine. */
    public PromptLoad addPromptLoad(PromptDemand prompt, long nowMs) {
        return addPromptLoad(prompt, Long.MAX_VALUE, nowMs);
    }

    /**
     * Adds a prompt to the estimated load of the engine; the result releases it again.
     *
     * @param deadlineMs when the response must have ended
     */
    public PromptLoad addPromptLoad(PromptDemand prompt, long deadlineMs, long nowMs) {
        return mEngineLoad.addPromptLoad(prompt, deadlineMs, nowMs);
    }

    /** Shares what is learned about the events of the service's streams. */
    void setOutputEvents(OutputEvents outputEvents) {
        mEngineLoad.setOutputEvents(outputEvents);
    }

    /**
     * Returns how much later than in the remaining time the prompt's response would end, in
     * milliseconds; 0 if it would end in time or the engine's pace is not known.
     */
    double overrunMs(PromptDemand prompt, long remainingMs, long nowMs) {
        return mEngineLoad.overrunMs(prompt, remainingMs, nowMs);
    }

    /**
     * Limits the request rate while the endpoint warms up.
     *
     * @param untilMs when the endpoint is warm
     * @param perSecond the maximum requests per second from this instance until then; 0 for none
     */
    public void setCold(long untilMs, int perSecond, long nowMs) {
        mWarmupLimiter.setCold(untilMs, perSecond, nowMs);
    }

    /** Returns whether the endpoint is, or may be after a restart, still warming up. */
    public boolean isCold(long nowMs) {
        return mWarmupLimiter.isCold(nowMs) || isRestartSuspected(nowMs);
    }

    /** Sets for how long the endpoint is cold after its start, in milliseconds. */
    public void setWarmupMs(long warmupMs) {
        mWarmupMs = warmupMs;
    }

    /** Returns whether the endpoint may have restarted without having registered since. */
    public boolean isRestartSuspected(long nowMs) {
        return mRestartSuspicion.isActive(mWarmupMs, nowMs);
    }

    /** Returns when the endpoint refused a connection; empty if no restart is suspected. */
    public OptionalLong connectionRefusedMs() {
        return mRestartSuspicion.refusedMs();
    }

    /** Returns when the endpoint accepted a connection after it had refused one. */
    public OptionalLong connectionAcceptedMs() {
        return mRestartSuspicion.acceptedMs();
    }

    /**
     * Suspects a restart because another instance does, unless this one has evidence of its own.
     *
     * @param refusedMs when the endpoint refused a connection of the other instance
     * @param acceptedMs when it accepted a connection of the other instance after that
     * @param registrationAsOfMs when the read of the registration that this instance knows began
     */
    public void adoptRestartSuspicion(
            long refusedMs, OptionalLong acceptedMs, long registrationAsOfMs) {
        mRestartSuspicion.adopt(refusedMs, acceptedMs);
        mRestartSuspicion.noteUnchangedRegistration(registrationAsOfMs);
    }

    /**
     * Suspects a restart because the endpoint has ended or raised its limit, as a new process knows
     * nothing of the limit of the one before.
     *
     * @param statedMs when the last response that stated the former limit arrived
     * @param relaxedMs when the response arrived that showed the change
     */
    void noteLimitRelaxed(long statedMs, long relaxedMs) {
        mRestartSuspicion.noteLimitRelaxed(statedMs, relaxedMs);
    }

    /** Returns whether a connection should be opened to find out if the endpoint accepts it. */
    public boolean isConnectionProbeDue(long nowMs) {
        return mRestartSuspicion.isRefusing() && nowMs >= mBackoffUntilMs;
    }

    /** Records an accepted connection; returns whether the last one had been refused. */
    public boolean noteConnectionAccepted(long nowMs) {
        boolean wasRefusing = mRestartSuspicion.isRefusing();
        mRestartSuspicion.noteAccepted(nowMs);
        return wasRefusing;
    }

    /** Records that the endpoint responds to a request that was sent at the given time. */
    public void noteResponse(long sentMs) {
        mRestartSuspicion.noteResponse(sentMs);
    }

    /** Records that the registration read at the given time shows the same process. */
    public void noteUnchangedRegistration(long asOfMs) {
        mRestartSuspicion.noteUnchangedRegistration(asOfMs);
    }

    /**
     * Returns how many requests beyond its slots may be sent to the endpoint.
     *
     * <p>The reported number of requests from other instances lags. Without overcommitment, slots
     * that have become free since the last report would stay unused until the next one.
     */
    private int maxOvercommittedRequests(long nowMs) {
        return requestsOfOthers(nowMs) == 0
                ? 0
                : Math.max(1, mEndpoint.slots() / SLOTS_PER_OVERCOMMITTED_REQUEST);
    }

    /**
     * Returns whether the endpoint is usable and has no request of this instance or, as last
     * reported, of another one.
     */
    public boolean isIdle(long nowMs) {
        return isUsable(nowMs) && !mReservedExclusively && load(nowMs) == 0;
    }

    /** Returns this instance's requests in flight plus the reported ones of other instances. */
    public int load(long nowMs) {
        return mInFlight + requestsOfOthers(nowMs);
    }

    private int requestsOfOthers(long nowMs) {
        return nowMs - mLoadReportedMs < REPORT_LIFETIME_MS ? mRequestsOfOthers : 0;
    }

    private int slotLimit(long nowMs) {
        long sinceMs = nowMs - mSlowStartFromMs;
        if (sinceMs >= SLOW_START_DURATION_MS) {
            return mEndpoint.slots();
        }
        return (int) Math.max(1, mEndpoint.slots() * sinceMs / SLOW_START_DURATION_MS);
    }

    /**
     * Records that a request has been sent to the endpoint.
     *
     * @param exclusive whether the endpoint is reserved for the request until it ends
     */
    public void requestStarted(boolean exclusive) {
        mInFlight++;
        mRequestsSent++;
        mReservedExclusively = exclusive;
    }

    /** Records that a request has been sent, and counts it against the limits of the rate. */
    public void requestStarted(boolean exclusive, long nowMs) {
        requestStarted(exclusive);
        mWarmupLimiter.recordStart(nowMs);
        permits().ifPresent(SendPermits::use);
    }

    /** Records the end of a request that received a response; resets the failure count. */
    public void requestSucceeded() {
        mInFlight--;
        mConsecutiveFailures = 0;
        mReservedExclusively = false;
    }

    /** Records the end of a request that did not fail because of the endpoint. */
    public void requestEnded() {
        mInFlight--;
        mReservedExclusively = false;
    }

    /** Records that the endpoint has rejected a request, and backs off for the base time. */
    public void requestRejected(long nowMs) {
        requestEnded();
        backOff(nowMs);
    }

    /** Sends no new requests to the endpoint for the base backoff time. */
    public void backOff(long nowMs) {
        mBackoffUntilMs = Math.max(mBackoffUntilMs, nowMs + BASE_BACKOFF_MS);
    }

    /** Records a failed request; the backoff doubles with each consecutive failure. */
    public void requestFailed(long nowMs) {
        mInFlight--;
        mReservedExclusively = false;
        long backoffMs =
                Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS << Math.min(mConsecutiveFailures, 5));
        mConsecutiveFailures++;
        mBackoffUntilMs = nowMs + backoffMs;
        mPrefixHints.clear();
        mSlowStartFromMs = mBackoffUntilMs;
    }

    /**
     * Sends no requests to an endpoint that has refused a connection until it accepts one, and
     * limits the rate then, as the endpoint may have restarted.
     */
    public void connectionRefused(long nowMs) {
        mRestartSuspicion.noteRefused(nowMs);
        markUnreachable(nowMs);
    }

    /**
     * Backs off from an endpoint that accepts no connections or has stopped responding, so it has
     * probably restarted or stopped.
     *
     * <p>The backoff doubles with each consecutive failure. Failures during a backoff are ignored,
     * so that requests that fail at the same time count as one failure.
     */
    public void markUnreachable(long nowMs) {
        if (nowMs < mBackoffUntilMs) {
            return;
        }
        long backoffMs = BASE_BACKOFF_MS << Math.min(mConsecutiveFailures, 5);
        mConsecutiveFailures++;
        mBackoffUntilMs = nowMs + Math.min(MAX_UNREACHABLE_BACKOFF_MS, backoffMs);
        mPrefixHints.clear();
    }

    /** Records a load report of the endpoint: all requests that it runs or has queued. */
    public void recordLoadReport(int requests, long nowMs) {
        mRequestsOfOthers = Math.max(0, requests - mInFlight);
        mLoadReportedMs = nowMs;
    }

    /** Limits the bytes of the bodies of this instance's requests in flight to the endpoint. */
    void setMaxBodyBytes(long maxBytes) {
        mMaxBodyBytes = maxBytes;
    }

    /** Counts the bytes of the body of a request that is sent, until the request ends. */
    public void bodyStarted(long bytes) {
        mBodyBytes += bytes;
    }

    /** Stops counting the body of a request that has ended. */
    public void bodyEnded(long bytes) {
        mBodyBytes -= bytes;
    }

    /** Records the pace of its machine that the endpoint states, in percent of the usual time. */
    public void recordPace(int percent, long nowMs) {
        mPacePercent = percent;
        mPaceStatedMs = nowMs;
    }

    /** Returns whether the endpoint has recently stated its pace. */
    boolean hasStatedPace(long nowMs) {
        return nowMs - mPaceStatedMs <= PACE_LIFETIME_MS;
    }

    /** Returns the pace to assume, in percent of the usual time; 100 without a recent statement. */
    public int pacePercent(long nowMs) {
        return hasStatedPace(nowMs) ? mPacePercent : USUAL_PACE_PERCENT;
    }
}
