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
import org.filbertrudder.entry.log.Field;
import org.filbertrudder.entry.log.PartLog;
import org.filbertrudder.model.Json;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.queueing.EnginePriority;
import org.filbertrudder.policy.retry.RetryBudget;
import org.filbertrudder.policy.retry.SuspectRequests.Verdict;
import org.filbertrudder.policy.retry.UnprovenRequests;
import org.filbertrudder.policy.routing.EndpointState;

/** Runs attempts and decides after each failure whether the request may run again. */
final class Attempts implements Dispatcher.Starter {

    private static final PartLog LOG = PartLog.of("attempt");
    private static final int MAX_ATTEMPTS = 4;
    private static final long REPORTS_TRAVEL_MS = 250;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_UNAVAILABLE = 503;

    private final TrafficContext mContext;
    private final HttpClient mClient;
    private final ForwardClient mForwards;
    private final Finisher mFinisher;
    private final RetryBudget mBudget = new RetryBudget();
    private final UnprovenRequests mUnproven;
    private final CacheEventPoller mCacheEvents;
    private Dispatcher mDispatcher;
    private Consumer<Exchange> mResubmit = exchange -> {};

    Attempts(
            TrafficContext context,
            HttpClient client,
            ForwardClient forwards,
            Finisher finisher,
            UnprovenRequests unproven,
            CacheEventPoller cacheEvents) {
        mUnproven = unproven;
        mCacheEvents = cacheEvents;
        mContext = context;
        mClient = client;
        mForwards = forwards;
        mFinisher = finisher;
    }

    void setDispatcher(Dispatcher dispatcher) {
        mDispatcher = dispatcher;
        mResubmit = dispatcher::submit;
    }

    @Override
    public void startLocal(Exchange exchange, EndpointState endpoint) {
        boolean ranBefore = begin(exchange);
        endpoint.started(exchange.alone());
        notePrefix(exchange, endpoint);
        exchange.tried().add(endpoint.id());
        boolean alone = endpoint.load(mContext.nowMs()) == 1 && exchange.alone();
        noteCopyStarted(exchange, endpoint);
        LocalAttempt attempt = new LocalAttempt(exchange, endpoint, ranBefore, alone);
        exchange.onEnd(attempt::releaseEndpoint);
        exchange.setUpstream(
                EndpointCall.start(
                        mClient,
                        endpoint.endpoint(),
                        exchange.incoming(),
                        attemptHeaders(exchange),
                        attempt));
    }

    private void noteCopyStarted(Exchange exchange, EndpointState endpoint) {
        if (exchange.incoming().isModel()) {
            mUnproven.started(exchange.digest(), endpoint.id());
        }
    }

    private void notePrefix(Exchange exchange, EndpointState endpoint) {
        String prefix = exchange.incoming().affinityKey();
        if (!prefix.isEmpty()) {
            endpoint.prefixStored(prefix, mContext.nowMs());
            mCacheEvents.used(endpoint);
        }
    }

    private boolean begin(Exchange exchange) {
        if (exchange.attempts() == 0) {
            mBudget.noteRequest(mContext.nowMs());
        }
        exchange.countAttempt();
        if (exchange.relay() == null) {
            exchange.setRelay(new AnswerRelay(exchange, () -> pauseUntilDrained(exchange)));
        }
        boolean ranBefore = exchange.maybeRan();
        exchange.setMaybeRan(true);
        return ranBefore;
    }

    private static void pauseUntilDrained(Exchange exchange) {
        Upstream upstream = exchange.upstream();
        if (upstream != null) {
            upstream.pause();
            exchange.sink().onDrain(upstream::resume);
        }
    }

    private Map<String, String> attemptHeaders(Exchange exchange) {
        Map<String, String> headers = new LinkedHashMap<>();
        Exchange.Incoming incoming = exchange.incoming();
        headers.put(Exchange.REQUEST_ID_HEADER, incoming.requestId());
        headers.put("x-client-account", incoming.account().value());
        long leftMs = incoming.deadlineMs() - mContext.nowMs();
        headers.put("x-deadline-ms", Long.toString(Math.max(1, leftMs)));
        if (incoming.isModel()) {
            headers.put("x-priority", Integer.toString(priority(incoming)));
        }
        if (exchange.relay().resumable()) {
            headers.put(
                    Exchange.RESUME_OFFSET_HEADER, Long.toString(exchange.relay().eventsSent()));
        }
        return headers;
    }

    private int priority(Exchange.Incoming incoming) {
        return mContext.snapshot()
                .configuration()
                .account(incoming.account())
                .map(account -> EnginePriority.of(account.contract()))
                .orElse(EnginePriority.LOWEST);
    }

    @Override
    public void startAway(Exchange exchange, RegionId region) {
        List<Member> members = mContext.snapshot().workingIn(region);
        if (members.isEmpty()) {
            exchange.triedRegions().add(region);
            mResubmit.accept(exchange);
            return;
        }
        Member member = members.get(ThreadLocalRandom.current().nextInt(members.size()));
        boolean ranBefore = begin(exchange);
        mContext.metrics().forwarded();
        exchange.triedRegions().add(region);
        exchange.setUpstream(
                mForwards.start(
                        member,
                        exchange,
                        attemptHeaders(exchange),
                        new AwayAttempt(exchange, ranBefore)));
    }

    @Override
    public void hold(Exchange exchange) {
        awaitReports(
                exchange,
                () -> {
                    exchange.setAlone();
                    mResubmit.accept(exchange);
                });
    }

    /** Decides after a failed attempt whether the request runs again. */
    private void afterFailure(Exchange exchange, boolean sent) {
        if (exchange.ended()) {
            return;
        }
        boolean mayRepeat = !sent || exchange.incoming().repeatable();
        boolean canContinue = exchange.relay().replaceable() || exchange.relay().resumable();
        if (!mayRepeat || !canContinue || exchange.attempts() >= MAX_ATTEMPTS) {
            giveUp(exchange);
        } else if (sent && !tryRetry()) {
            giveUp(exchange);
        } else {
            mContext.metrics().retried();
            LOG.info(
                    "A request runs again.",
                    Field.of("request", exchange.incoming().requestId()),
                    Field.of("attempt", exchange.attempts() + 1));
            mResubmit.accept(exchange);
        }
    }

    private boolean tryRetry() {
        double share = mContext.snapshot().configuration().rules().retryShare();
        return mBudget.tryRetry(share, mContext.nowMs());
    }

    private void giveUp(Exchange exchange) {
        if (!exchange.maybeRan()) {
            mFinisher.refuse(exchange, Refusal.regionUnavailable());
        } else if (exchange.relay().replaceable()) {
            boolean repeatable = exchange.incoming().repeatable();
            mFinisher.refuse(exchange, repeatable ? Refusal.incomplete() : Refusal.broken());
        } else if (exchange.relay().resumable()) {
            mFinisher.refuse(exchange, Refusal.incomplete());
        } else {
            mFinisher.abort(exchange);
        }
    }

    /**
     * Spreads the news of a crash, then runs the request alone or not at all.
     *
     * <p>Waits for the reports of other instances, as copies of the request may have crashed other
     * endpoints at the same moment.
     */
    private void afterCrash(Exchange exchange, EndpointState endpoint, boolean alone) {
        Exchange.Incoming incoming = exchange.incoming();
        if (!incoming.isModel()) {
            afterFailure(exchange, true);
            return;
        }
        if (alone) {
            mUnproven.convicted(exchange.digest());
        } else {
            mUnproven.suspected(exchange.digest());
        }
        mContext.control()
                .crashes()
                .report(
                        new PeerMessage.CrashReport(
                                incoming.account(),
                                exchange.digest().bodySha256(),
                                endpoint.id(),
                                System.currentTimeMillis(),
                                alone));
        awaitReports(exchange, () -> afterFailure(exchange, true));
    }

    /**
     * Runs the action once reports of other crashes have had time to arrive.
     *
     * <p>An endpoint that refuses connections may just have crashed under a copy of the request.
     */
    private void awaitReports(Exchange exchange, Runnable action) {
        if (!exchange.incoming().isModel()) {
            action.run();
            return;
        }
        mContext.vertx()
                .setTimer(
                        REPORTS_TRAVEL_MS, timer -> withVerdict(exchange, verdict -> action.run()));
    }

    /** Runs the action unless the request has crashed endpoints before; a suspect waits first. */
    void checkVerdict(Exchange exchange, Runnable action) {
        withVerdict(
                exchange,
                verdict -> {
                    if (verdict == Verdict.ALONE) {
                        awaitReports(exchange, action);
                    } else {
                        action.run();
                    }
                });
    }

    /** Refuses the request if it is guilty; tells the action how it may run otherwise. */
    private void withVerdict(Exchange exchange, Consumer<Verdict> action) {
        mContext.control()
                .crashes()
                .verdict(exchange.digest())
                .thenAccept(
                        verdict ->
                                mForwards.execute(() -> applyVerdict(exchange, verdict, action)));
    }

    private void applyVerdict(Exchange exchange, Verdict verdict, Consumer<Verdict> action) {
        if (exchange.ended()) {
            return;
        }
        if (verdict == Verdict.REFUSE) {
            mFinisher.refuse(exchange, Refusal.crashing());
            return;
        }
        if (verdict == Verdict.ALONE) {
            exchange.setAlone();
        }
        action.accept(verdict);
    }

    /** Ends an attempt; only an endpoint's answer is kept for repeats, not a refusal. */
    private void finish(Exchange exchange, boolean fromEndpoint) {
        if (exchange.ended()) {
            return;
        }
        AnswerRelay relay = exchange.relay();
        if (relay.isBuffered() && fromEndpoint) {
            noteAnswer(exchange, relay);
        }
        if (relay.end()) {
            mFinisher.complete(exchange);
        } else {
            exchange.setAnswer(null);
            afterFailure(exchange, true);
        }
    }

    private static void noteAnswer(Exchange exchange, AnswerRelay relay) {
        byte[] body = relay.buffered().getBytes();
        String type = relay.headers().getOrDefault("content-type", "");
        exchange.setAnswer(new Exchange.Answer(relay.status(), type, body));
        if (exchange.incoming().isModel()) {
            usedTokens(body).ifPresent(exchange::setReportedTokens);
        }
    }

    private static Optional<Long> usedTokens(byte[] body) {
        try {
            JsonNode total = Json.MAPPER.readTree(body).path("usage").path("total_tokens");
            return total.isNumber() ? Optional.of(total.asLong()) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Passes the head of an answer on unless it does not continue a broken stream. */
    private void passHead(Exchange exchange, int status, Map<String, String> headers) {
        if (!continues(exchange, status, headers)) {
            mFinisher.refuse(exchange, Refusal.incomplete());
            return;
        }
        mContext.metrics().firstByte(mContext.nowMs() - exchange.startedMs());
        exchange.relay().head(status, headers);
    }

    /** Returns whether the answer continues the stream exactly where it broke off. */
    private static boolean continues(Exchange exchange, int status, Map<String, String> headers) {
        if (!exchange.relay().resumable()) {
            return true;
        }
        String offset = Long.toString(exchange.relay().eventsSent());
        return status == 200 && offset.equals(headers.get(Exchange.RESUME_OFFSET_HEADER));
    }

    /** Follows an attempt at an endpoint of this region. */
    private final class LocalAttempt implements UpstreamListener {

        private final Exchange mExchange;
        private final EndpointState mEndpoint;
        private final boolean mRanBefore;
        private final boolean mAlone;
        private boolean mReleased;

        LocalAttempt(Exchange exchange, EndpointState endpoint, boolean ranBefore, boolean alone) {
            mExchange = exchange;
            mEndpoint = endpoint;
            mRanBefore = ranBefore;
            mAlone = alone;
        }

        /** Frees the slot at the endpoint if the exchange ends before the attempt does. */
        void releaseEndpoint() {
            if (!mReleased) {
                release();
                mEndpoint.ended();
                noteServed();
            }
        }

        private void release() {
            mReleased = true;
            if (mExchange.incoming().isModel()) {
                mUnproven.ended(mExchange.digest());
            }
        }

        private void noteProved() {
            if (mExchange.incoming().isModel()) {
                mUnproven.proved(mExchange.digest());
            }
        }

        private void noteServed() {
            mDispatcher.served(mExchange.incoming().service().id(), mExchange.usedTokens());
        }

        @Override
        public void head(int status, Map<String, String> headers) {
            boolean busy = status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY_REQUESTS;
            if (busy && mExchange.incoming().isModel()) {
                mExchange.upstream().cancel();
                release();
                mEndpoint.turnedAway(mContext.nowMs());
                mExchange.setMaybeRan(mRanBefore);
                afterFailure(mExchange, false);
                return;
            }
            passHead(mExchange, status, headers);
        }

        @Override
        public void data(Buffer data) {
            mExchange.relay().data(data);
        }

        @Override
        public void end() {
            if (!mReleased) {
                release();
                mEndpoint.succeeded();
                noteProved();
                noteServed();
            }
            finish(mExchange, true);
        }

        @Override
        public void failed(Failure failure) {
            if (mReleased) {
                return;
            }
            release();
            mEndpoint.failed(mContext.nowMs());
            LOG.warn(
                    "An attempt failed.",
                    Field.of("request", mExchange.incoming().requestId()),
                    Field.of("endpoint", mEndpoint.id()),
                    Field.of("failure", failure));
            if (failure == Failure.NOT_SENT) {
                mExchange.setMaybeRan(mRanBefore);
                awaitReports(mExchange, () -> afterFailure(mExchange, false));
            } else {
                afterCrash(mExchange, mEndpoint, mAlone);
            }
        }
    }

    /** Follows an attempt in another region. */
    private final class AwayAttempt implements UpstreamListener {

        private final Exchange mExchange;
        private final boolean mRanBefore;
        private boolean mRefused;

        AwayAttempt(Exchange exchange, boolean ranBefore) {
            mExchange = exchange;
            mRanBefore = ranBefore;
        }

        @Override
        public void head(int status, Map<String, String> headers) {
            String notRun = headers.get(Exchange.NOT_RUN_HEADER);
            mRefused = notRun != null;
            if (Boolean.parseBoolean(notRun)) {
                mExchange.setMaybeRan(mRanBefore);
            }
            passHead(mExchange, status, headers);
        }

        @Override
        public void data(Buffer data) {
            mExchange.relay().data(data);
        }

        @Override
        public void end() {
            finish(mExchange, !mRefused);
        }

        @Override
        public void failed(Failure failure) {
            if (failure == Failure.NOT_SENT) {
                mExchange.setMaybeRan(mRanBefore);
            }
            afterFailure(mExchange, failure != Failure.NOT_SENT);
        }
    }
}
