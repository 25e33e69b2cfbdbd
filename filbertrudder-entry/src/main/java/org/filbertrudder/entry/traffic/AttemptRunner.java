package org.filbertrudder.entry.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.Json;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.queueing.EnginePriority;
import org.filbertrudder.policy.retry.RequestCopyTracker;
import org.filbertrudder.policy.retry.RetryBudget;
import org.filbertrudder.policy.retry.SuspectRequests.Decision;
import org.filbertrudder.policy.routing.EndpointState;

/** Runs attempts, and retries a request after a failure if that is allowed. */
final class AttemptRunner implements Dispatcher.AttemptStarter {

    private static final ComponentLogger LOG = ComponentLogger.of("attempt");
    private static final int MAX_ATTEMPTS = 4;
    private static final long CRASH_REPORT_WAIT_MS = 250;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_UNAVAILABLE = 503;

    private final TrafficContext mContext;
    private final HttpClient mClient;
    private final ForwardClient mForwardClient;
    private final ExchangeFinisher mFinisher;
    private final RetryBudget mRetryBudget = new RetryBudget();
    private final RequestCopyTracker mCopyTracker;
    private final CacheEventPoller mCacheEventPoller;
    private Dispatcher mDispatcher;
    private Consumer<Exchange> mResubmit = exchange -> {};

    AttemptRunner(
            TrafficContext context,
            HttpClient client,
            ForwardClient forwardClient,
            ExchangeFinisher finisher,
            RequestCopyTracker copyTracker,
            CacheEventPoller cacheEventPoller) {
        mCopyTracker = copyTracker;
        mCacheEventPoller = cacheEventPoller;
        mContext = context;
        mClient = client;
        mForwardClient = forwardClient;
        mFinisher = finisher;
    }

    void setDispatcher(Dispatcher dispatcher) {
        mDispatcher = dispatcher;
        mResubmit = dispatcher::submit;
    }

    @Override
    public void startLocal(Exchange exchange, EndpointState endpoint) {
        boolean mayHaveRunBefore = beginAttempt(exchange);
        endpoint.requestStarted(exchange.exclusive());
        recordCachedPrefix(exchange, endpoint);
        exchange.triedEndpoints().add(endpoint.id());
        boolean onlyRequestAtEndpoint =
                endpoint.load(mContext.nowMs()) == 1 && exchange.exclusive();
        recordCopyStarted(exchange, endpoint);
        LocalAttempt attempt =
                new LocalAttempt(exchange, endpoint, mayHaveRunBefore, onlyRequestAtEndpoint);
        exchange.onEnd(attempt::releaseEndpoint);
        exchange.setUpstream(
                EndpointCall.start(
                        mClient,
                        endpoint.endpoint(),
                        exchange.request(),
                        upstreamHeaders(exchange),
                        attempt));
    }

    private void recordCopyStarted(Exchange exchange, EndpointState endpoint) {
        if (exchange.request().isModelRequest()) {
            mCopyTracker.copyStarted(exchange.digest(), endpoint.id());
        }
    }

    private void recordCachedPrefix(Exchange exchange, EndpointState endpoint) {
        String prefix = exchange.request().affinityKey();
        if (!prefix.isEmpty()) {
            endpoint.recordPrefixCached(prefix, mContext.nowMs());
            mCacheEventPoller.markUsed(endpoint);
        }
    }

    /** Begins an attempt; returns whether the request may have run in an earlier one. */
    private boolean beginAttempt(Exchange exchange) {
        if (exchange.attempts() == 0) {
            mRetryBudget.recordRequest(mContext.nowMs());
        }
        exchange.incrementAttempts();
        if (exchange.relay() == null) {
            exchange.setRelay(new ResponseRelay(exchange, () -> pauseUntilDrained(exchange)));
        }
        boolean mayHaveRunBefore = exchange.mayHaveRun();
        exchange.setMayHaveRun(true);
        return mayHaveRunBefore;
    }

    private static void pauseUntilDrained(Exchange exchange) {
        UpstreamCall upstream = exchange.upstream();
        if (upstream != null) {
            upstream.pause();
            exchange.sink().onDrain(upstream::resume);
        }
    }

    private Map<String, String> upstreamHeaders(Exchange exchange) {
        Map<String, String> headers = new LinkedHashMap<>();
        Exchange.Request request = exchange.request();
        headers.put(Exchange.REQUEST_ID_HEADER, request.requestId());
        headers.put("x-client-account", request.account().value());
        long remainingMs = request.deadlineMs() - mContext.nowMs();
        headers.put("x-deadline-ms", Long.toString(Math.max(1, remainingMs)));
        if (request.isModelRequest()) {
            headers.put("x-priority", Integer.toString(enginePriority(request)));
        }
        if (exchange.relay().resumable()) {
            headers.put(
                    Exchange.RESUME_OFFSET_HEADER, Long.toString(exchange.relay().eventsSent()));
        }
        return headers;
    }

    private int enginePriority(Exchange.Request request) {
        return mContext.snapshot()
                .configuration()
                .account(request.account())
                .map(account -> EnginePriority.of(account.contract()))
                .orElse(EnginePriority.LOWEST);
    }

    @Override
    public void startRemote(Exchange exchange, RegionId region) {
        List<Member> members = mContext.snapshot().membersAcceptingWorkIn(region);
        if (members.isEmpty()) {
            exchange.triedRegions().add(region);
            mResubmit.accept(exchange);
            return;
        }
        Member member = members.get(ThreadLocalRandom.current().nextInt(members.size()));
        boolean mayHaveRunBefore = beginAttempt(exchange);
        mContext.metrics().forwarded();
        exchange.triedRegions().add(region);
        exchange.setUpstream(
                mForwardClient.start(
                        member,
                        exchange,
                        upstreamHeaders(exchange),
                        new RemoteAttempt(exchange, mayHaveRunBefore)));
    }

    @Override
    public void deferForCrashReports(Exchange exchange) {
        afterCrashReports(
                exchange,
                () -> {
                    exchange.setExclusive();
                    mResubmit.accept(exchange);
                });
    }

    /**
     * Retries the request after a failed attempt, or ends the exchange.
     *
     * @param mayHaveRunInAttempt whether the request may have run in the failed attempt
     */
    private void retryOrEnd(Exchange exchange, boolean mayHaveRunInAttempt) {
        if (exchange.ended()) {
            return;
        }
        boolean mayRetry = mayHaveRunInAttempt ? exchange.mayRunAgain() : exchange.canContinue();
        if (!mayRetry || exchange.attempts() >= MAX_ATTEMPTS) {
            endAfterFailure(exchange);
        } else if (mayHaveRunInAttempt && !takeFromRetryBudget()) {
            endAfterFailure(exchange);
        } else {
            mContext.metrics().retried();
            LOG.info(
                    "A request is retried.",
                    LogField.of("request", exchange.request().requestId()),
                    LogField.of("attempt", exchange.attempts() + 1));
            mResubmit.accept(exchange);
        }
    }

    private boolean takeFromRetryBudget() {
        double retryShare = mContext.snapshot().configuration().rules().retryShare();
        return mRetryBudget.tryAcquireRetry(retryShare, mContext.nowMs());
    }

    /** Ends an exchange that is not complete when the instance has to stop. */
    void endForShutdown(Exchange exchange) {
        if (exchange.mayHaveRun()) {
            endAfterFailure(exchange);
        } else {
            mFinisher.refuse(exchange, Refusal.shuttingDown());
        }
    }

    private void endAfterFailure(Exchange exchange) {
        if (!exchange.mayHaveRun()) {
            mFinisher.refuse(exchange, Refusal.noRegionReachable());
        } else if (exchange.relay().replaceable()) {
            boolean retryable = exchange.request().retryable();
            mFinisher.refuse(
                    exchange, retryable ? Refusal.responseIncomplete() : Refusal.outcomeUnknown());
        } else if (exchange.relay().resumable()) {
            mFinisher.refuse(exchange, Refusal.responseIncomplete());
        } else {
            mFinisher.abort(exchange);
        }
    }

    /**
     * Reports a crash to all instances, then retries the request as an exclusive one or refuses it;
     * a crash during a plain request is not reported.
     *
     * <p>Waits for the crash reports of other instances first, as copies of the request may have
     * crashed other endpoints at the same time.
     */
    private void handleCrash(
            Exchange exchange, EndpointState endpoint, boolean onlyRequestAtEndpoint) {
        Exchange.Request request = exchange.request();
        if (!request.isModelRequest()) {
            retryOrEnd(exchange, true);
            return;
        }
        if (onlyRequestAtEndpoint) {
            mCopyTracker.markCrashCause(exchange.digest());
        } else {
            mCopyTracker.markSuspect(exchange.digest());
        }
        mContext.control()
                .crashReports()
                .report(
                        new PeerMessage.CrashReport(
                                request.account(),
                                exchange.digest().bodySha256(),
                                endpoint.id(),
                                System.currentTimeMillis(),
                                onlyRequestAtEndpoint));
        afterCrashReports(exchange, () -> retryOrEnd(exchange, true));
    }

    /**
     * Runs the action once crash reports of other instances have had time to arrive.
     *
     * <p>An endpoint that refuses connections may just have crashed while it ran a copy of the
     * request.
     */
    private void afterCrashReports(Exchange exchange, Runnable action) {
        if (!exchange.request().isModelRequest()) {
            action.run();
            return;
        }
        mContext.vertx()
                .setTimer(
                        CRASH_REPORT_WAIT_MS,
                        timer -> withCrashDecision(exchange, decision -> action.run()));
    }

    /**
     * Runs the action unless the request is known to crash endpoints; a suspected request waits for
     * further crash reports first.
     */
    void checkCrashHistory(Exchange exchange, Runnable action) {
        withCrashDecision(
                exchange,
                decision -> {
                    if (decision == Decision.EXCLUSIVE) {
                        afterCrashReports(exchange, action);
                    } else {
                        action.run();
                    }
                });
    }

    /**
     * Refuses a request that is known to crash endpoints; otherwise passes the decision to the
     * action.
     */
    private void withCrashDecision(Exchange exchange, Consumer<Decision> action) {
        mContext.control()
                .crashReports()
                .decisionFor(exchange.digest())
                .thenAccept(
                        decision ->
                                mForwardClient.runOnEventLoop(
                                        () -> applyCrashDecision(exchange, decision, action)));
    }

    private void applyCrashDecision(
            Exchange exchange, Decision decision, Consumer<Decision> action) {
        if (exchange.ended()) {
            return;
        }
        if (decision == Decision.REFUSED) {
            mFinisher.refuse(exchange, Refusal.requestCrashesEndpoints());
            return;
        }
        if (decision == Decision.EXCLUSIVE) {
            exchange.setExclusive();
        }
        action.accept(decision);
    }

    /**
     * Ends an attempt whose response has ended.
     *
     * @param fromEndpoint whether an endpoint sent the response; refusals are not stored for
     *     repeats
     */
    private void finishAttempt(Exchange exchange, boolean fromEndpoint) {
        if (exchange.ended()) {
            return;
        }
        ResponseRelay relay = exchange.relay();
        if (relay.isBuffered() && fromEndpoint) {
            storeResponse(exchange, relay);
        }
        if (relay.end()) {
            mFinisher.complete(exchange);
        } else {
            exchange.setStoredResponse(null);
            retryOrEnd(exchange, true);
        }
    }

    private static void storeResponse(Exchange exchange, ResponseRelay relay) {
        byte[] body = relay.bufferedBody().getBytes();
        String type = relay.headers().getOrDefault("content-type", "");
        exchange.setStoredResponse(new Exchange.StoredResponse(relay.status(), type, body));
        if (exchange.request().isModelRequest()) {
            reportedTokens(body).ifPresent(exchange::setReportedTokens);
        }
    }

    private static Optional<Long> reportedTokens(byte[] body) {
        try {
            JsonNode totalTokens = Json.MAPPER.readTree(body).path("usage").path("total_tokens");
            return totalTokens.isNumber() ? Optional.of(totalTokens.asLong()) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Continues a stream elsewhere, as an event of it does not end. */
    private void continueAfterLongEvent(Exchange exchange) {
        LOG.warn(
                "An event of a stream is too long.",
                LogField.of("request", exchange.request().requestId()));
        retryOrEnd(exchange, true);
    }

    /** Relays status and headers; refuses a response that does not continue a broken stream. */
    private void relayHead(Exchange exchange, int status, Map<String, String> headers) {
        if (!continuesStream(exchange, status, headers)) {
            mFinisher.refuse(exchange, Refusal.responseIncomplete());
            return;
        }
        mContext.metrics().firstByte(mContext.nowMs() - exchange.startedMs());
        exchange.relay().head(status, headers);
    }

    /** Returns whether the response continues the stream after the last event that was sent. */
    private static boolean continuesStream(
            Exchange exchange, int status, Map<String, String> headers) {
        return !exchange.relay().resumable()
                || ResponseRelay.continuesAfter(exchange.relay().eventsSent(), status, headers);
    }

    /** Handles the response of an attempt on an endpoint in this region. */
    private final class LocalAttempt implements UpstreamListener {

        private final Exchange mExchange;
        private final EndpointState mEndpoint;
        private final boolean mMayHaveRunBefore;
        private final boolean mOnlyRequestAtEndpoint;
        private boolean mReleased;

        LocalAttempt(
                Exchange exchange,
                EndpointState endpoint,
                boolean mayHaveRunBefore,
                boolean onlyRequestAtEndpoint) {
            mExchange = exchange;
            mEndpoint = endpoint;
            mMayHaveRunBefore = mayHaveRunBefore;
            mOnlyRequestAtEndpoint = onlyRequestAtEndpoint;
        }

        /** Releases the endpoint if the exchange ends before the attempt does. */
        void releaseEndpoint() {
            if (!mReleased) {
                markReleased();
                mEndpoint.requestEnded();
                recordServedTokens();
            }
        }

        private void markReleased() {
            mReleased = true;
            if (mExchange.request().isModelRequest()) {
                mCopyTracker.copyEnded(mExchange.digest());
            }
        }

        private void recordNoCrash() {
            if (mExchange.request().isModelRequest()) {
                mCopyTracker.markCompleted(mExchange.digest());
            }
        }

        private void recordServedTokens() {
            mDispatcher.recordServed(mExchange.request().service().id(), mExchange.usedTokens());
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            boolean endpointOverloaded =
                    status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY_REQUESTS;
            if (endpointOverloaded && mExchange.request().isModelRequest()) {
                mExchange.upstream().cancel();
                markReleased();
                mEndpoint.requestRejected(mContext.nowMs());
                mExchange.setMayHaveRun(mMayHaveRunBefore);
                retryOrEnd(mExchange, false);
                return;
            }
            relayHead(mExchange, status, headers);
        }

        @Override
        public void onData(Buffer data) {
            if (mExchange.relay().data(data)) {
                return;
            }
            mExchange.upstream().cancel();
            markReleased();
            mEndpoint.requestFailed(mContext.nowMs());
            continueAfterLongEvent(mExchange);
        }

        @Override
        public void onEnd() {
            if (!mReleased) {
                markReleased();
                mEndpoint.requestSucceeded();
                recordNoCrash();
                recordServedTokens();
            }
            finishAttempt(mExchange, true);
        }

        @Override
        public void onFailure(Failure failure) {
            if (mReleased) {
                return;
            }
            markReleased();
            mEndpoint.requestFailed(mContext.nowMs());
            LOG.warn(
                    "An attempt failed.",
                    LogField.of("request", mExchange.request().requestId()),
                    LogField.of("endpoint", mEndpoint.id()),
                    LogField.of("failure", failure));
            if (failure == Failure.NOT_SENT) {
                mExchange.setMayHaveRun(mMayHaveRunBefore);
                afterCrashReports(mExchange, () -> retryOrEnd(mExchange, false));
            } else {
                handleCrash(mExchange, mEndpoint, mOnlyRequestAtEndpoint);
            }
        }
    }

    /** Handles the response of an attempt that was forwarded to another region. */
    private final class RemoteAttempt implements UpstreamListener {

        private final Exchange mExchange;
        private final boolean mMayHaveRunBefore;
        private boolean mRefused;

        RemoteAttempt(Exchange exchange, boolean mayHaveRunBefore) {
            mExchange = exchange;
            mMayHaveRunBefore = mayHaveRunBefore;
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            String notRun = headers.get(Exchange.NOT_RUN_HEADER);
            mRefused = notRun != null;
            if (Boolean.parseBoolean(notRun)) {
                mExchange.setMayHaveRun(mMayHaveRunBefore);
            }
            relayHead(mExchange, status, headers);
        }

        @Override
        public void onData(Buffer data) {
            if (!mExchange.relay().data(data)) {
                mExchange.upstream().cancel();
                continueAfterLongEvent(mExchange);
            }
        }

        @Override
        public void onEnd() {
            finishAttempt(mExchange, !mRefused);
        }

        @Override
        public void onFailure(Failure failure) {
            if (failure == Failure.NOT_SENT) {
                mExchange.setMayHaveRun(mMayHaveRunBefore);
            }
            retryOrEnd(mExchange, failure != Failure.NOT_SENT);
        }
    }
}
