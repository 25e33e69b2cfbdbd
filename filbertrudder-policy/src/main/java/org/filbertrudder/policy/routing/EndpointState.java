package org.filbertrudder.policy.routing;

import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.policy.Rendezvous;

/** Holds what one traffic thread knows of an endpoint. */
public final class EndpointState {

    private static final long BASE_BACKOFF_MS = 250;
    private static final long MAX_BACKOFF_MS = 8_000;
    private static final long SLOW_START_MS = 5_000;
    private static final long REPORT_LIFETIME_MS = 5_000;
    private static final int SLOTS_PER_MARGIN = 4;

    private final long mIdHash;
    private final PrefixHints mPrefixes = new PrefixHints();
    private Endpoint mEndpoint;
    private int mInFlight;
    private int mFailures;
    private long mUnavailableUntilMs;
    private long mSlowStartFromMs = Long.MIN_VALUE / 2;
    private boolean mLeaving;
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
        return !mLeaving && nowMs >= mUnavailableUntilMs;
    }

    /** Returns whether the endpoint can start another request now. */
    public boolean hasRoom(long nowMs) {
        return usable(nowMs) && !mReservedAlone && load(nowMs) < limit(nowMs) + margin(nowMs);
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
        mReservedAlone = alone;
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
        mUnavailableUntilMs = nowMs + BASE_BACKOFF_MS;
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

    /** Notes a load report: all requests that the endpoint runs or holds waiting. */
    public void reported(int requests, long nowMs) {
        mReportedByOthers = Math.max(0, requests - mInFlight);
        mReportedMs = nowMs;
    }
}
