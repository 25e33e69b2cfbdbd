package org.filbertrudder.entry.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.entry.control.TokenGrant;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Digests;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.KeyId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.Service;
import org.filbertrudder.model.ServiceKind;
import org.filbertrudder.policy.retry.RequestDigest;

/** Holds the state of one request from its arrival to the end of its response. */
final class Exchange {

    /**
     * Header with the number of events that the caller has, after which the stream resumes; in
     * requests to endpoints and in their responses.
     */
    static final String RESUME_OFFSET_HEADER = "x-resume-offset";

    /** Header of a refusal between instances: whether the request has certainly not run. */
    static final String NOT_RUN_HEADER = "x-not-run";

    /** Header with the request id, in requests to endpoints and in responses. */
    static final String REQUEST_ID_HEADER = "x-request-id";

    private final Request mRequest;
    private final long mStartedMs;
    private final ResponseSink mSink;
    private final Set<EndpointId> mTriedEndpoints = new HashSet<>();
    private final Set<RegionId> mTriedRegions = new HashSet<>();
    private TokenGrant mGrant;
    private UpstreamCall mUpstream;
    private long mUsedTokens;
    private boolean mUsageReported;
    private int mAttempts;
    private boolean mMayHaveRun;
    private boolean mExclusive;
    private boolean mQueued;
    private RequestDigest mDigest;
    private boolean mEnded;
    private Runnable mOnEnd = () -> {};
    private StoredResponse mStoredResponse;
    private ResponseRelay mRelay;

    Exchange(Request request, ResponseSink sink, long startedMs) {
        mStartedMs = startedMs;
        mRequest = request;
        mSink = sink;
        mUsedTokens = request.promptTokens();
    }

    Request request() {
        return mRequest;
    }

    long startedMs() {
        return mStartedMs;
    }

    ResponseSink sink() {
        return mSink;
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

    UpstreamCall upstream() {
        return mUpstream;
    }

    void setUpstream(UpstreamCall upstream) {
        mUpstream = upstream;
    }

    /**
     * Returns the reserved tokens that were certainly not consumed.
     *
     * <p>A response that is not streamed reports its tokens only at its end, so a request that may
     * have run without such a report is charged in full.
     */
    long unusedTokens() {
        if (!mMayHaveRun) {
            return mGrant.tokens();
        }
        boolean counted = mUsageReported || (mRelay != null && mRelay.resumable());
        return counted ? Math.max(0, mGrant.tokens() - mUsedTokens) : 0;
    }

    long usedTokens() {
        return mUsedTokens;
    }

    /** Replaces the token count by the total that the endpoint has reported. */
    void setReportedTokens(long tokens) {
        mUsedTokens = tokens;
        mUsageReported = true;
    }

    void addUsedToken() {
        mUsedTokens++;
    }

    int attempts() {
        return mAttempts;
    }

    void incrementAttempts() {
        mAttempts++;
    }

    /** Returns the relay shared by all attempts of this exchange; null before the first attempt. */
    ResponseRelay relay() {
        return mRelay;
    }

    void setRelay(ResponseRelay relay) {
        mRelay = relay;
    }

    /**
     * Returns the complete response to store for repeats; null if there is none or it is too long.
     */
    StoredResponse storedResponse() {
        return mStoredResponse;
    }

    void setStoredResponse(StoredResponse response) {
        mStoredResponse = response;
    }

    /** Returns whether the request may have run, even if only in part. */
    boolean mayHaveRun() {
        return mMayHaveRun;
    }

    void setMayHaveRun(boolean mayHaveRun) {
        mMayHaveRun = mayHaveRun;
    }

    /** Returns whether another attempt can continue what has been sent of the response. */
    boolean canContinue() {
        return mRelay.replaceable() || mRelay.resumable();
    }

    /** Returns whether the request may run once more although it may have run already. */
    boolean mayRunAgain() {
        return mRequest.retryable() && canContinue();
    }

    /** Returns whether the request may run only on an endpoint that runs no other request. */
    boolean exclusive() {
        return mExclusive;
    }

    void setExclusive() {
        mExclusive = true;
    }

    /** Returns the digest that identifies copies of the request; computed on first use. */
    RequestDigest digest() {
        if (mDigest == null) {
            String bodySha256 = Digests.sha256(mRequest.body().getBytes());
            mDigest = new RequestDigest(mRequest.account(), bodySha256);
        }
        return mDigest;
    }

    /** Returns whether the request waits in the queue of its service. */
    boolean queued() {
        return mQueued;
    }

    void setQueued(boolean queued) {
        mQueued = queued;
    }

    boolean ended() {
        return mEnded;
    }

    /** Marks the exchange as ended; returns false if it had ended before. */
    boolean markEnded() {
        boolean first = !mEnded;
        mEnded = true;
        return first;
    }

    void onEnd(Runnable action) {
        Runnable before = mOnEnd;
        mOnEnd =
                () -> {
                    before.run();
                    action.run();
                };
    }

    void runEndActions() {
        mOnEnd.run();
    }

    /**
     * Holds a complete response.
     *
     * @param status the HTTP status
     * @param contentType the media type of the body; empty if unknown
     * @param body the body of the response
     */
    record StoredResponse(int status, String contentType, byte[] body) {}

    /**
     * Describes a request that has been authenticated and validated.
     *
     * @param requestId the request id
     * @param account the client account; on open paths the common account of all callers
     * @param key the id of the API key; null on open paths
     * @param service the service
     * @param method the HTTP method
     * @param uri the path and query at the endpoint
     * @param headers the headers to send to an endpoint
     * @param body the request body
     * @param streamed whether the caller asked for server-sent events
     * @param promptTokens the estimated tokens of the prompt
     * @param maxTokens the upper bound of the tokens that the request can consume
     * @param affinityKey digest of the start of the prompt, for routing by cached prefixes; may be
     *     empty
     * @param retryable whether the request may run more than once
     * @param forwarded whether an instance in another region has forwarded the request
     * @param deadlineMs when the request must have ended, on the clock of {@link TrafficContext}
     */
    record Request(
            String requestId,
            AccountId account,
            KeyId key,
            Service service,
            String method,
            String uri,
            Map<String, String> headers,
            Buffer body,
            boolean streamed,
            long promptTokens,
            long maxTokens,
            String affinityKey,
            boolean retryable,
            boolean forwarded,
            long deadlineMs) {

        /** Returns how many events the caller received before the request was forwarded here. */
        long resumeOffset() {
            String offset = forwarded ? headers.get(RESUME_OFFSET_HEADER) : null;
            return offset == null ? 0 : Long.parseLong(offset);
        }

        boolean isModelRequest() {
            return service.type() == ServiceKind.MODEL;
        }
    }
}
