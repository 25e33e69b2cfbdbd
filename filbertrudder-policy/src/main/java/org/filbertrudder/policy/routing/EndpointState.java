package org.filbertrudder.policy.routing;

import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.policy.Rendezvous;

/** Holds what one traffic thread knows of an endpoint. */
public final class EndpointState {

    private static final long BASE_BACKOFF_MS = 250;
    private static final long MAX_BACKOFF_MS = 8_000;

    /** One connection tells whether an endpoint is back, so it is tried often. */
    private static final long MAX_UNREACHABLE_BACKOFF_MS = 1_000;

    private static final long SLOW_START_MS = 5_000;
    private static final long REPORT_LIFETIME_MS = 5_000;
    private static final int SLOTS_PER_MARGIN = 4;

    /** The longest pause that an endpoint may ask for, in milliseconds. */
    private static final long MAX_PAUSE_MS = 60_000;

    private final long mIdHash;
    private final PrefixHints mPrefixes = new PrefixHints();
    private final EngineLoad mEngine = new EngineLoad(mPrefixes);
    private final WarmupGate mWarmup = new WarmupGate();
    private final FailureShare mOutcomes = new FailureShare();
    private Endpoint mEndpoint;
    private int mInFlight;
    private long mStarts;
    private int mFailures;
    private long mUnavailableUntilMs;
    private long mSlowStartFromMs = Long.MIN_VALUE / 2;
    private boolean mLeaving;
    private long mStartedMs;
    private long mPausedUntilMs = Long.MIN_VALUE / 2;
    private boolean mReservedAlone;
    private int mReportedByOthers;
    private long mReportedMs = Long.MIN_VALUE / 2;

    EndpointState(Endpoint endpoint, long nowMs) {
        mEndpoint = endpoint;
        mIdHash = Rendezvous.hash(endpoint.id().value());
    }

    /** Returns how well the endpoint suits requests with the affinity key of the given hash. */
    long affinity(long keyHash) {
        return Rendezvous.weight(keyHash, mIdHash);
    }

    /** Notes that a prompt prefix was used or stored there. */
    public void prefixStored(String prefix, long nowMs) {
        mPrefixes.stored(prefix, nowMs);
    }

    /** Notes that the endpoint has evicted a prompt prefix from its cache. */
    public void prefixEvicted(String prefix) {
        mPrefixes.evicted(prefix);
    }

    /** Returns whether the endpoint probably has the prompt prefix in its cache. */
    boolean holdsPrefix(String prefix, long nowMs) {
        return mPrefixes.contains(prefix, nowMs);
    }

    void setEndpoint(Endpoint endpoint, long nowMs) {
        if (endpoint.port() != mEndpoint.port() || !endpoint.host().equals(mEndpoint.host())) {
            mSlowStartFromMs = nowMs;
            mFailures = 0;
        }
        mEndpoint = endpoint;
    }

    void setLeaving(boolean leaving) {
        mLeaving = leaving;
    }

    /** Sets when the endpoint's process started, in milliseconds since the epoch; 0 if unknown. */
    public void setStartedMs(long startedMs) {
        mStartedMs = startedMs;
    }

    long startedMs() {
        return mStartedMs;
    }

    /**
     * Notes that the endpoint wants no requests from this instance for a while.
     *
     * <p>This is no failure: the endpoint stays healthy and keeps its prompt cache.
     *
     * @return whether it did not pause already
     */
    public boolean pause(long pauseMs, long nowMs) {
        boolean news = nowMs >= mPausedUntilMs;
        mPausedUntilMs = Math.max(mPausedUntilMs, nowMs + Math.min(pauseMs, MAX_PAUSE_MS));
        return news;
    }

    /** Returns how long the endpoint still wants no requests, in milliseconds; 0 if it does. */
    long pauseLeftMs(long nowMs) {
        return Math.max(0, mPausedUntilMs - nowMs);
    }

    /** Notes whether a request that ran there failed. */
    public void noteOutcome(boolean failed, long nowMs) {
        mOutcomes.note(failed, nowMs);
    }

    /** Returns whether the endpoint has failed many requests lately. */
    boolean isDoubtful(long nowMs) {
        return mOutcomes.isDoubtful(nowMs);
    }

    /** Returns the endpoint's description. */
    public Endpoint endpoint() {
        return mEndpoint;
    }

    /** Returns the endpoint's id. */
    public EndpointId id() {
        return mEndpoint.id();
    }

    /** Returns whether the endpoint gets no new requests because it is leaving. */
    public boolean leaving() {
        return mLeaving;
    }

    /** Returns whether the endpoint is thought to be able to serve. */
    public boolean usable(long nowMs) {
        return !mLeaving && nowMs >= mUnavailableUntilMs && nowMs >= mPausedUntilMs;
    }

    /** Returns whether the endpoint can start another request now. */
    public boolean hasRoom(long nowMs) {
        return usable(nowMs)
                && !mReservedAlone
                && mWarmup.hasRoom(nowMs)
                && load(nowMs) < limit(nowMs) + margin(nowMs);
    }

    /** Returns whether the endpoint can start a request with the prompt now. */
    boolean hasRoom(PromptDemand prompt, long nowMs) {
        return hasRoom(nowMs) && mEngine.hasRoom(prompt);
    }

    /** Returns whether only prompts that wait to be read keep another one from the engine. */
    boolean isReading(PromptDemand prompt, long nowMs) {
        return hasRoom(nowMs) && mEngine.isReading(prompt);
    }

    /** Returns how long the prompt would wait for its first token there, in milliseconds. */
    double startDelayMs(PromptDemand prompt, long nowMs) {
        return mEngine.backlogMs() + mEngine.prefillMs(prompt, nowMs);
    }

    /** Returns the tokens of the prompt's shared parts that are probably not cached there. */
    public long missingSharedTokens(PromptDemand prompt, long nowMs) {
        return mEngine.missingSharedTokens(prompt, nowMs);
    }

    /** Returns how long the prompts that wait there take to read, in milliseconds. */
    public double backlogMs() {
        return mEngine.backlogMs();
    }

    /** Returns the reading time of this instance's own waiting prompts, in milliseconds. */
    public double ownPrefillMs() {
        return mEngine.ownPrefillMs();
    }

    /** Returns the memory that all known requests occupy there, in tokens. */
    public long memoryTokens() {
        return mEngine.memoryTokens();
    }

    /** Returns the memory that this instance's own requests occupy there, in tokens. */
    public long ownMemoryTokens() {
        return mEngine.ownMemoryTokens();
    }

    /** Returns how many requests this instance has sent there so far. */
    long starts() {
        return mStarts;
    }

    /** Returns the number of this instance's own requests there. */
    public int inFlight() {
        return mInFlight;
    }

    /** Sets the memory that running requests and cached prompt parts share, in tokens. */
    public void setEngineMemory(long memoryTokens) {
        mEngine.setMemoryTokens(memoryTokens);
    }

    /** Notes what other instances have running there, as they have told. */
    public void reportedByOthers(int requests, double prefillMs, long memoryTokens, long nowMs) {
        mReportedByOthers = requests;
        mReportedMs = nowMs;
        mEngine.reportedByOthers(prefillMs, memoryTokens);
    }

    /** Adds a prompt to the estimated load of the engine. */
    public PromptRun startPrompt(PromptDemand prompt, long nowMs) {
        return mEngine.start(prompt, nowMs);
    }

    /**
     * Limits the requests to a cold endpoint.
     *
     * @param untilMs when it is warm
     * @param perSecond the requests a second that this instance may send until then; 0 for none
     */
    public void setCold(long untilMs, int perSecond) {
        mWarmup.setCold(untilMs, perSecond);
    }

    /** Returns whether the endpoint is cold. */
    public boolean isCold(long nowMs) {
        return mWarmup.isCold(nowMs);
    }

    /**
     * Returns how many requests more than its slots the endpoint may hold waiting.
     *
     * <p>The count of the requests that others have sent lags. Without a margin, slots that have
     * become free meanwhile would stay empty until the next report.
     */
    private int margin(long nowMs) {
        return reportedByOthers(nowMs) == 0 ? 0 : Math.max(1, mEndpoint.slots() / SLOTS_PER_MARGIN);
    }

    /** Returns whether nothing else runs on the endpoint, as far as is known. */
    public boolean idle(long nowMs) {
        return usable(nowMs) && !mReservedAlone && load(nowMs) == 0;
    }

    /** Returns the number of requests running there, by own count and last report. */
    public int load(long nowMs) {
        return mInFlight + reportedByOthers(nowMs);
    }

    private int reportedByOthers(long nowMs) {
        return nowMs - mReportedMs < REPORT_LIFETIME_MS ? mReportedByOthers : 0;
    }

    private int limit(long nowMs) {
        long sinceMs = nowMs - mSlowStartFromMs;
        if (sinceMs >= SLOW_START_MS) {
            return mEndpoint.slots();
        }
        return (int) Math.max(1, mEndpoint.slots() * sinceMs / SLOW_START_MS);
    }

    /** Notes that a request has been sent; alone keeps others away until it ends. */
    public void started(boolean alone) {
        mInFlight++;
        mStarts++;
        mReservedAlone = alone;
    }

    /** Notes that a request has been sent, also for the limit of a cold endpoint. */
    public void started(boolean alone, long nowMs) {
        started(alone);
        mWarmup.noteStart(nowMs);
    }

    /** Notes the end of a request that got an answer. */
    public void succeeded() {
        mInFlight--;
        mFailures = 0;
        mReservedAlone = false;
    }

    /** Notes the end of a request that failed by no fault of the endpoint. */
    public void ended() {
        mInFlight--;
        mReservedAlone = false;
    }

    /** Notes that the endpoint has turned a request away; it rests for a moment. */
    public void turnedAway(long nowMs) {
        ended();
        rest(nowMs);
    }

    /** Keeps new requests away for a moment. */
    public void rest(long nowMs) {
        mUnavailableUntilMs = Math.max(mUnavailableUntilMs, nowMs + BASE_BACKOFF_MS);
    }

    /** Notes a failed connection; the endpoint rests for a time that doubles with each failure. */
    public void failed(long nowMs) {
        mInFlight--;
        mReservedAlone = false;
        long backoffMs = Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS << Math.min(mFailures, 5));
        mFailures++;
        mUnavailableUntilMs = nowMs + backoffMs;
        mPrefixes.clear();
        mSlowStartFromMs = mUnavailableUntilMs;
    }

    /**
     * Keeps new requests away for a time that doubles with each failure in a row.
     *
     * <p>The endpoint accepts no connections, so it has probably restarted or gone. Requests that
     * fail at the same moment count as one failure.
     */
    public void notReachable(long nowMs) {
        if (nowMs < mUnavailableUntilMs) {
            return;
        }
        long backoffMs = BASE_BACKOFF_MS << Math.min(mFailures, 5);
        mFailures++;
        mUnavailableUntilMs = nowMs + Math.min(MAX_UNREACHABLE_BACKOFF_MS, backoffMs);
        mPrefixes.clear();
    }

    /** Notes a load report: all requests that the endpoint runs or holds waiting. */
    public void reported(int requests, long nowMs) {
        mReportedByOthers = Math.max(0, requests - mInFlight);
        mReportedMs = nowMs;
    }
}
