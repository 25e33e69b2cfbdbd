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

/** Holds the state of one request from its arrival to the end of its answer. */
final class Exchange {

    /** Names the header that tells after which event a stream goes on. */
    static final String RESUME_OFFSET_HEADER = "x-resume-offset";

    /** Names the header by which an instance tells another whether a refused request has run. */
    static final String NOT_RUN_HEADER = "x-not-run";

    /** Names the header of a request's id, to endpoints and in answers. */
    static final String REQUEST_ID_HEADER = "x-request-id";

    private final Incoming mIncoming;
    private final long mStartedMs;
    private final ResponseSink mSink;
    private final Set<EndpointId> mTried = new HashSet<>();
    private final Set<RegionId> mTriedRegions = new HashSet<>();
    private TokenGrant mGrant;
    private Upstream mUpstream;
    private long mUsedTokens;
    private boolean mUsageReported;
    private int mAttempts;
    private boolean mMaybeRan;
    private boolean mAlone;
    private boolean mQueued;
    private RequestDigest mDigest;
    private boolean mEnded;
    private Runnable mOnEnd = () -> {};
    private Answer mAnswer;
    private AnswerRelay mRelay;

    Exchange(Incoming incoming, ResponseSink sink, long startedMs) {
        mStartedMs = startedMs;
        mIncoming = incoming;
        mSink = sink;
        mUsedTokens = incoming.promptTokens();
    }

    Incoming incoming() {
        return mIncoming;
    }

    long startedMs() {
        return mStartedMs;
    }

    ResponseSink sink() {
        return mSink;
    }

    Set<EndpointId> tried() {
        return mTried;
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

    Upstream upstream() {
        return mUpstream;
    }

    void setUpstream(Upstream upstream) {
        mUpstream = upstream;
    }

    /**
     * Returns the reserved tokens that were certainly not consumed.
     *
     * <p>An answer that is not streamed tells its tokens only at its end, so a request that may
     * have run without one is charged in full.
     */
    long unusedTokens() {
        if (!mMaybeRan) {
            return mGrant.tokens();
        }
        boolean counted = mUsageReported || (mRelay != null && mRelay.resumable());
        return counted ? Math.max(0, mGrant.tokens() - mUsedTokens) : 0;
    }

    long usedTokens() {
        return mUsedTokens;
    }

    /** Notes the tokens that the endpoint has reported. */
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

    void countAttempt() {
        mAttempts++;
    }

    /** Returns the relay that all attempts of this exchange share, or null before the first. */
    AnswerRelay relay() {
        return mRelay;
    }

    void setRelay(AnswerRelay relay) {
        mRelay = relay;
    }

    /** Returns the whole answer once it is known; null if there is none or it is too long. */
    Answer answer() {
        return mAnswer;
    }

    void setAnswer(Answer answer) {
        mAnswer = answer;
    }

    /** Returns whether the request may have run, even if only in part. */
    boolean maybeRan() {
        return mMaybeRan;
    }

    void setMaybeRan(boolean maybeRan) {
        mMaybeRan = maybeRan;
    }

    /** Returns whether the request may run only on an idle endpoint. */
    boolean alone() {
        return mAlone;
    }

    void setAlone() {
        mAlone = true;
    }

    /** Returns what recognises the request when it is sent again; worked out once. */
    RequestDigest digest() {
        if (mDigest == null) {
            String bodySha256 = Digests.sha256(mIncoming.body().getBytes());
            mDigest = new RequestDigest(mIncoming.account(), bodySha256);
        }
        return mDigest;
    }

    /** Returns whether the request waits in a queue. */
    boolean queued() {
        return mQueued;
    }

    void setQueued(boolean queued) {
        mQueued = queued;
    }

    boolean ended() {
        return mEnded;
    }

    /** Ends the exchange once; returns whether this call did so. */
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
     * Holds a whole answer.
     *
     * @param status the HTTP status
     * @param contentType the type of the body; empty if there is none
     * @param body the body
     */
    record Answer(int status, String contentType, byte[] body) {}

    /**
     * Describes a request that has been identified and checked.
     *
     * @param requestId the request's id
     * @param account the client account; for open routes the one that stands for everybody
     * @param key the key's id; null on open routes
     * @param service the service
     * @param method the HTTP method
     * @param uri the path and query at the endpoint
     * @param headers the headers that may reach an endpoint
     * @param body the request's body
     * @param streamed whether the caller asked for server-sent events
     * @param promptTokens the estimated tokens of the prompt
     * @param maxTokens the most tokens that the request can consume
     * @param affinityKey requests with the same key share a prompt prefix; may be empty
     * @param repeatable whether the request may run more than once
     * @param forwarded whether another region has forwarded the request
     * @param deadlineMs when the request must have ended, on the instance's clock
     */
    record Incoming(
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
            boolean repeatable,
            boolean forwarded,
            long deadlineMs) {

        /** Returns the events that the caller had got before the request was forwarded here. */
        long resumeOffset() {
            String offset = forwarded ? headers.get(RESUME_OFFSET_HEADER) : null;
            return offset == null ? 0 : Long.parseLong(offset);
        }

        boolean isModel() {
            return service.type() == ServiceKind.MODEL;
        }
    }
}
