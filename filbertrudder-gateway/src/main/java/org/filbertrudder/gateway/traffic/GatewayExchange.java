package org.filbertrudder.gateway.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.StringJoiner;
import java.util.function.Supplier;
import org.filbertrudder.entry.control.TokenGrant;
import org.filbertrudder.gateway.config.AccountRule;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.gateway.config.RequestKind;
import org.filbertrudder.gateway.config.RouteRule;
import org.filbertrudder.gateway.control.GatewayControl;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.AllowedRegions;
import org.filbertrudder.model.Digests;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.policy.retry.RequestDigest;

/** Holds the state of one request from its arrival to the end of its response. */
final class GatewayExchange {

    /** The minimum time that a request needs to run, in milliseconds. */
    private static final long MIN_RUN_MS = 100;

    /**
     * How long a request that may have run waits for a scheduled start, in milliseconds. By its age
     * it precedes most others, so it starts soon unless the region has stopped.
     */
    private static final long RERUN_WAIT_MS = 1_000;

    /**
     * The longest wait of a forwarded request, in milliseconds. Such a request starts almost at
     * once or is refused, as requests wait in the region that received them.
     */
    private static final long MAX_FORWARDED_WAIT_MS = 200;

    /**
     * The fraction of the latency goal that a request may wait for one engine; the rest is left for
     * the prefill of the prompt.
     */
    private static final double ENGINE_WAIT_GOAL_FRACTION = 0.4;

    private static final long NO_EVENT = Long.MIN_VALUE;

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
    private final long mArrivedMs;
    private final long mDeadlineMs;
    private final Set<EndpointId> mTriedEndpoints = new HashSet<>();
    private final Set<RegionId> mTriedRegions = new HashSet<>();
    private Supplier<GatewayConfiguration> mConfiguration = () -> null;

    /** The configuration of the allowed regions; null for the one in force at the arrival. */
    private GatewayConfiguration mRegionsSource;

    private AllowedRegions mAllowedRegions;
    private final List<Runnable> mOnEnd = new ArrayList<>();
    private final StringBuilder mTraceSteps = new StringBuilder();
    private final StringJoiner mSendStates = new StringJoiner(" ");
    private TokenGrant mGrant;
    private RequestDigest mDigest;
    private Attempt mAttempt;
    private StreamRelay mRelay;
    private BufferedResponse mHeldErrorResponse;
    private Optional<RegionId> mOrigin = Optional.empty();
    private int mSends;
    private int mRuns;
    private long mRetryAfterMs;
    private boolean mQueued;
    private boolean mEnded;
    private boolean mCallerDisconnected;
    private long mFirstEventMs = NO_EVENT;
    private long mLastEventMs = NO_EVENT;

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
            long arrivedMs) {
        mHead = head;
        mMethod = method;
        mUri = uri;
        mBody = body;
        mRoute = route;
        mAccount = account;
        mService = service;
        mForwarded = forwarded;
        mSink = sink;
        mArrivedMs = arrivedMs;
        mDeadlineMs =
                arrivedMs + Math.min(route.timeoutMs(), head.deadlineMs().orElse(Long.MAX_VALUE));
        mAllowedRegions =
                route.allowedRegions()
                        .and(account.map(AccountRule::allowedRegions).orElse(AllowedRegions.any()));
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

    /** Returns the account for fair queueing; all requests without an account share one. */
    AccountId queueAccount() {
        return mAccount.map(AccountRule::id).orElse(ANONYMOUS_ACCOUNT);
    }

    ServiceId service() {
        return mService;
    }

    /** Returns whether another instance forwarded the request. */
    boolean forwarded() {
        return mForwarded;
    }

    /** Records the region whose instance has forwarded the request. */
    void setOrigin(RegionId origin) {
        mOrigin = Optional.ofNullable(origin);
    }

    /** Returns the region whose instance has forwarded the request; empty if none has. */
    Optional<RegionId> origin() {
        return mOrigin;
    }

    GatewayResponseSink sink() {
        return mSink;
    }

    long arrivedMs() {
        return mArrivedMs;
    }

    /**
     * Returns the deadline of the final response, the earlier of the caller's and the route's, on
     * the steady clock.
     */
    long deadlineMs() {
        return mDeadlineMs;
    }

    /** Returns whether the response is a stream of events. */
    boolean isStream() {
        return mRoute.kind() == RequestKind.STREAM;
    }

    /**
     * Returns the latest time at which a waiting request may start.
     *
     * <p>A stream that has not started by its latency goal is already late. Under overload it would
     * displace one that can still meet its goal, so its caller is told when to retry instead. A
     * stream that was interrupted midway may start until shortly before its deadline.
     */
    long latestStartMs() {
        long latestMs = mDeadlineMs - MIN_RUN_MS;
        if (mRelay != null) {
            return latestMs;
        }
        if (mForwarded) {
            return Math.min(latestMs, mArrivedMs + MAX_FORWARDED_WAIT_MS);
        }
        return isStream() ? Math.min(latestMs, mArrivedMs + mRoute.goalMs()) : latestMs;
    }

    /**
     * Returns the latest time at which a request may start that a scheduler lets wait.
     *
     * <p>Nothing else can be answered to a request that may have run than an error, so it may wait
     * beyond its latency goal.
     *
     * @param submittedMs when it began to wait
     */
    long latestScheduledStartMs(long submittedMs) {
        return mRuns == 0
                ? latestStartMs()
                : Math.max(
                        latestStartMs(),
                        Math.min(mDeadlineMs - MIN_RUN_MS, submittedMs + RERUN_WAIT_MS));
    }

    /**
     * Returns whether the request may still wait for the engine that has its prompt cached.
     *
     * <p>Only the first attempt waits, and only while another engine can still meet the latency
     * goal.
     */
    boolean mayWaitForEngine(long nowMs) {
        double waitMs = ENGINE_WAIT_GOAL_FRACTION * mRoute.goalMs();
        return !mForwarded && mSends == 0 && nowMs < mArrivedMs + waitMs;
    }

    /** Returns the priority of the request; the account's overrides the route's. */
    int priority() {
        return mAccount.flatMap(AccountRule::priority).orElse(mRoute.priority());
    }

    /**
     * Takes the allowed regions from the configuration in force from now on: a request that waits
     * or is sent again must not follow a version that has been replaced since its arrival.
     */
    void followConfiguration(Supplier<GatewayConfiguration> configuration) {
        mConfiguration = configuration;
    }

    boolean mayRunIn(RegionId region) {
        return !mTriedRegions.contains(region) && allowedRegions().allows(region);
    }

    /** Returns the regions that the route and the account allow by the configuration in force. */
    AllowedRegions allowedRegions() {
        GatewayConfiguration configuration = mConfiguration.get();
        if (configuration != null && configuration != mRegionsSource) {
            mRegionsSource = configuration;
            mAllowedRegions = routeRegions(configuration).and(accountRegions(configuration));
        }
        return mAllowedRegions;
    }

    /** A request whose route is gone or divided keeps the regions of that route as well. */
    private AllowedRegions routeRegions(GatewayConfiguration configuration) {
        Optional<RouteRule> found = configuration.route(mHead.host(), path());
        AllowedRegions regions = found.map(RouteRule::allowedRegions).orElse(AllowedRegions.any());
        boolean isSameRoute =
                found.filter(route -> route.pathPrefix().equals(mRoute.pathPrefix())).isPresent();
        return isSameRoute ? regions : regions.and(mRoute.allowedRegions());
    }

    /** A request whose key has moved to another account keeps to the regions of both. */
    private AllowedRegions accountRegions(GatewayConfiguration configuration) {
        AllowedRegions ofKey =
                mHead.apiKey()
                        .flatMap(configuration::accountOfKey)
                        .map(AccountRule::allowedRegions)
                        .orElse(AllowedRegions.any());
        return mAccount.map(known -> configuration.account(known.id()).orElse(known))
                .map(AccountRule::allowedRegions)
                .map(ofKey::and)
                .orElse(AllowedRegions.any());
    }

    private String path() {
        return mUri.split("\\?", 2)[0];
    }

    /** Returns whether the route and the account allow no region in common. */
    boolean hasNoCommonRegion() {
        return allowedRegions().allowsNone();
    }

    /**
     * Returns whether the operators' state was confirmed so recently that the request may be sent
     * by it: a newer one may have withdrawn its API key or changed its allowed regions.
     */
    boolean mayTrustState(GatewayControl control) {
        return (mAccount.isEmpty() || control.mayTrustKeys())
                && (allowedRegions().isAny() || control.mayTrustRegions());
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

    /**
     * Returns a digest of account, URI and body, by which the request is recognised when it is sent
     * again.
     */
    RequestDigest digest() {
        if (mDigest == null) {
            Buffer text = Buffer.buffer(mUri).appendString("\n").appendBuffer(mBody);
            mDigest = new RequestDigest(queueAccount(), Digests.sha256(text.getBytes()));
        }
        return mDigest;
    }

    /** Returns the digest if the request was looked up by it, as there were crash reports. */
    Optional<RequestDigest> lookedUpDigest() {
        return Optional.ofNullable(mDigest);
    }

    Attempt attempt() {
        return mAttempt;
    }

    void setAttempt(Attempt attempt) {
        mAttempt = attempt;
    }

    /** Returns the relay of the response stream; null until the stream has started. */
    StreamRelay relay() {
        return mRelay;
    }

    void setRelay(StreamRelay relay) {
        mRelay = relay;
    }

    /** Returns the id of the last event that the caller has received; 0 if there is none. */
    long lastEventId() {
        return mRelay == null ? mHead.lastEventId() : mRelay.lastId();
    }

    /** Returns how many attempts were made at endpoints and other instances. */
    int sends() {
        return mSends;
    }

    void countSend() {
        mSends++;
        mRuns++;
    }

    /**
     * Records by which state an attempt is sent.
     *
     * @param version the version of the configuration in force
     * @param stateAgeMs the time since the configuration was confirmed, in milliseconds
     */
    void noteSendState(long version, long stateAgeMs) {
        mSendStates.add(version + "@" + stateAgeMs);
    }

    /** Returns the version of the configuration at each send and the age of its confirmation. */
    String sendStatesText() {
        return mSendStates.toString();
    }

    /** Subtracts a run after an attempt that has certainly not executed the request. */
    void uncountRun() {
        mRuns--;
    }

    /** Returns how many attempts may have executed the request. */
    int runs() {
        return mRuns;
    }

    /**
     * Returns whether another attempt may execute the request.
     *
     * <p>A forwarded request runs at most once here, as the forwarding instance counts its runs.
     */
    boolean mayRunAgain() {
        boolean repeatable = mRoute.isRepeatable() && !mForwarded;
        return mRuns == 0 || (repeatable && mRuns < mRoute.maxRuns());
    }

    /**
     * Returns whether the request may be cancelled: an unsafe one that may be running may not, as
     * its outcome would be unknown.
     */
    boolean mayCancel() {
        return mRuns == 0 || mRoute.kind() != RequestKind.UNSAFE;
    }

    /**
     * Returns an endpoint's error response that is passed on if no later attempt succeeds; null if
     * none.
     */
    BufferedResponse heldErrorResponse() {
        return mHeldErrorResponse;
    }

    /** Keeps an endpoint's error response to pass on if no later attempt succeeds. */
    void holdErrorResponse(BufferedResponse response) {
        mHeldErrorResponse = response;
    }

    /**
     * Returns when the caller may retry according to the other region that refused the request
     * last, in milliseconds; 0 if unknown.
     */
    long retryAfterMs() {
        return mRetryAfterMs;
    }

    /** Records when the caller may retry according to another region. */
    void setRetryAfterMs(long retryAfterMs) {
        mRetryAfterMs = retryAfterMs;
    }

    boolean queued() {
        return mQueued;
    }

    void setQueued(boolean queued) {
        mQueued = queued;
    }

    /** Returns the step at which the request stands once it has been admitted. */
    RequestStep step() {
        if (mEnded) {
            return RequestStep.FLUSHING;
        }
        if (mSink.headSent()) {
            return RequestStep.ANSWERING;
        }
        if (mAttempt != null) {
            return RequestStep.SENT;
        }
        return mQueued ? RequestStep.QUEUED : RequestStep.ADMISSION;
    }

    boolean ended() {
        return mEnded;
    }

    boolean callerDisconnected() {
        return mCallerDisconnected;
    }

    void setCallerDisconnected() {
        mCallerDisconnected = true;
    }

    /** Records that an event of the response stream has been relayed. */
    void noteEvent(long nowMs) {
        if (mFirstEventMs == NO_EVENT) {
            mFirstEventMs = nowMs;
        }
        mLastEventMs = nowMs;
    }

    /** Returns the time from the first to the last relayed event, in milliseconds. */
    long generatingMs() {
        return mLastEventMs - mFirstEventMs;
    }

    /** Returns the number of relayed events of the response stream. */
    long events() {
        return mRelay == null ? 0 : mRelay.events();
    }

    /** Adds a step to the trace that is logged when the exchange ends. */
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

    /** Returns the actions to run once the exchange has ended. */
    List<Runnable> endActions() {
        return Collections.unmodifiableList(mOnEnd);
    }

    /** Marks the exchange as ended; returns false if it had ended before. */
    boolean markEnded() {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        return true;
    }
}
