package org.filbertrudder.gateway.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.filbertrudder.entry.control.TokenGrant;
import org.filbertrudder.gateway.config.AccountRule;
import org.filbertrudder.gateway.config.RequestKind;
import org.filbertrudder.gateway.config.RouteRule;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Digests;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.policy.retry.RequestDigest;

/** Holds the state of one request from its arrival to the end of its answer. */
final class GatewayExchange {

    /** The least time that a request needs once it starts, in milliseconds. */
    private static final long MIN_RUN_MS = 100;

    /** A forwarded request starts at once or goes back, as its wait is the caller's region's. */
    private static final long MAX_FORWARDED_WAIT_MS = 200;

    /** Part of the goal that a request may wait for one engine; the rest is for reading. */
    private static final double ENGINE_WAIT_GOAL_FRACTION = 0.4;

    private static final AccountId ANONYMOUS_ACCOUNT = AccountId.of("everybody");

    private final RequestHead mHead;
    private final String mMethod;
    private final String mUri;
    private final Buffer mBody;
    private final RouteRule mRoute;
    private final Optional<AccountRule> mAccount;
    private final ServiceId mService;
    private final boolean mForwarded;
    private final GatewayResponseSink mSink;
    private final long mArrivalMs;
    private final long mDeadlineMs;
    private final Set<EndpointId> mTriedEndpoints = new HashSet<>();
    private final Set<RegionId> mTriedRegions = new HashSet<>();
    private final List<Runnable> mOnEnd = new ArrayList<>();
    private final StringBuilder mTraceSteps = new StringBuilder();
    private TokenGrant mGrant;
    private RequestDigest mDigest;
    private Attempt mAttempt;
    private StreamRelay mRelay;
    private BufferedResponse mHeldErrorResponse;
    private int mSends;
    private int mRuns;
    private boolean mQueued;
    private boolean mEnded;
    private boolean mCallerLeft;

    GatewayExchange(
            RequestHead head,
            String method,
            String uri,
            Buffer body,
            RouteRule route,
            Optional<AccountRule> account,
            ServiceId service,
            boolean forwarded,
            GatewayResponseSink sink,
            long arrivalMs) {
        mHead = head;
        mMethod = method;
        mUri = uri;
        mBody = body;
        mRoute = route;
        mAccount = account;
        mService = service;
        mForwarded = forwarded;
        mSink = sink;
        mArrivalMs = arrivalMs;
        mDeadlineMs =
                arrivalMs + Math.min(route.timeoutMs(), head.deadlineMs().orElse(Long.MAX_VALUE));
    }

    RequestHead head() {
        return mHead;
    }

    String method() {
        return mMethod;
    }

    String uri() {
        return mUri;
    }

    Buffer body() {
        return mBody;
    }

    RouteRule route() {
        return mRoute;
    }

    Optional<AccountRule> account() {
        return mAccount;
    }

    /** Returns the account whose turn it is; requests without a key share one. */
    AccountId queueAccount() {
        return mAccount.map(AccountRule::id).orElse(ANONYMOUS_ACCOUNT);
    }

    ServiceId service() {
        return mService;
    }

    /** Returns whether another instance has forwarded the request. */
    boolean forwarded() {
        return mForwarded;
    }

    GatewayResponseSink sink() {
        return mSink;
    }

    long arrivalMs() {
        return mArrivalMs;
    }

    /** Returns when the final answer is due, by the caller's and the route's limits. */
    long deadlineMs() {
        return mDeadlineMs;
    }

    /** Returns whether the request is answered by a stream of events. */
    boolean isStream() {
        return mRoute.kind() == RequestKind.STREAM;
    }

    /**
     * Returns when the request must start, if it has to wait.
     *
     * <p>A stream that has not begun by its goal is late already. Under overload it would take the
     * place of one that can still be in time, so its caller is rather told when to come back. One
     * that broke off midway is finished as long as its caller waits.
     */
    long latestStartMs() {
        long latestMs = mDeadlineMs - MIN_RUN_MS;
        if (mRelay != null) {
            return latestMs;
        }
        if (mForwarded) {
            return Math.min(latestMs, mArrivalMs + MAX_FORWARDED_WAIT_MS);
        }
        return isStream() ? Math.min(latestMs, mArrivalMs + mRoute.goalMs()) : latestMs;
    }

    /**
     * Returns whether the request may still wait for the engine that keeps its prompt.
     *
     * <p>Only the first attempt does, and only as long as its goal stays within reach elsewhere.
     */
    boolean mayWaitForEngine(long nowMs) {
        double waitMs = ENGINE_WAIT_GOAL_FRACTION * mRoute.goalMs();
        return !mForwarded && mSends == 0 && nowMs < mArrivalMs + waitMs;
    }

    /** Returns the rank of the request; the account's overrides the route's. */
    int priority() {
        return mAccount.flatMap(AccountRule::priority).orElse(mRoute.priority());
    }

    boolean mayRunIn(RegionId region) {
        return !mTriedRegions.contains(region)
                && mRoute.allows(region)
                && mAccount.map(account -> account.allows(region)).orElse(true);
    }

    /** Returns the only regions where the request may run; empty means any region. */
    Set<RegionId> homeRegions() {
        Set<RegionId> accountHomes = mAccount.map(AccountRule::homes).orElse(Set.of());
        if (accountHomes.isEmpty() || mRoute.homes().isEmpty()) {
            return accountHomes.isEmpty() ? mRoute.homes() : accountHomes;
        }
        Set<RegionId> commonHomes = new HashSet<>(accountHomes);
        commonHomes.retainAll(mRoute.homes());
        return commonHomes;
    }

    /** Returns whether the homes of route and account exclude each other. */
    boolean hasNoCommonHome() {
        Set<RegionId> accountHomes = mAccount.map(AccountRule::homes).orElse(Set.of());
        return !accountHomes.isEmpty()
                && !mRoute.homes().isEmpty()
                && Collections.disjoint(accountHomes, mRoute.homes());
    }

    Set<EndpointId> triedEndpoints() {
        return mTriedEndpoints;
    }

    Set<RegionId> triedRegions() {
        return mTriedRegions;
    }

    TokenGrant grant() {
        return mGrant;
    }

    void setGrant(TokenGrant grant) {
        mGrant = grant;
    }

    /** Returns what recognises the request when it is sent again. */
    RequestDigest digest() {
        if (mDigest == null) {
            Buffer text = Buffer.buffer(mUri).appendString("\n").appendBuffer(mBody);
            mDigest = new RequestDigest(queueAccount(), Digests.sha256(text.getBytes()));
        }
        return mDigest;
    }

    Attempt attempt() {
        return mAttempt;
    }

    void setAttempt(Attempt attempt) {
        mAttempt = attempt;
    }

    /** Returns the relay of a stream that has begun; null before. */
    StreamRelay relay() {
        return mRelay;
    }

    void setRelay(StreamRelay relay) {
        mRelay = relay;
    }

    /** Returns how often the request was handed to an endpoint or another instance. */
    int sends() {
        return mSends;
    }

    void countSend() {
        mSends++;
        mRuns++;
    }

    /** Takes back the last send, as the request has certainly not run there. */
    void uncountRun() {
        mRuns--;
    }

    /** Returns how often the request may have run. */
    int runs() {
        return mRuns;
    }

    /**
     * Returns whether the request may run once more.
     *
     * <p>A forwarded request runs once at most, as the instance that forwarded it counts its runs.
     */
    boolean mayRunAgain() {
        boolean repeatable = mRoute.isRepeatable() && !mForwarded;
        return mRuns == 0 || (repeatable && mRuns < mRoute.maxRuns());
    }

    /** Returns an endpoint's own error answer that may still be passed on; null if none. */
    BufferedResponse heldErrorResponse() {
        return mHeldErrorResponse;
    }

    /** Keeps an endpoint's own error answer for the case that nobody gives a better one. */
    void holdErrorResponse(BufferedResponse answer) {
        mHeldErrorResponse = answer;
    }

    boolean queued() {
        return mQueued;
    }

    void setQueued(boolean queued) {
        mQueued = queued;
    }

    boolean ended() {
        return mEnded;
    }

    boolean callerLeft() {
        return mCallerLeft;
    }

    void setCallerLeft() {
        mCallerLeft = true;
    }

    /** Adds a step to the line that is logged at the end. */
    void trace(String step) {
        if (mTraceSteps.length() > 0) {
            mTraceSteps.append(' ');
        }
        mTraceSteps.append(step);
    }

    String traceText() {
        return mTraceSteps.toString();
    }

    void onEnd(Runnable action) {
        mOnEnd.add(action);
    }

    /** Ends the exchange once; returns whether this call did so. */
    boolean markEnded() {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        mOnEnd.forEach(Runnable::run);
        return true;
    }
}
