package org.filbertrudder.gateway.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.filbertrudder.entry.log.ForwardLog;
import org.filbertrudder.gateway.config.KeyDigests;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewaySnapshot;
import org.filbertrudder.model.KeyId;
import org.filbertrudder.model.message.ForwardRecords;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.forwarding.ForwardCall;
import org.filbertrudder.peer.forwarding.ForwardLink;
import org.filbertrudder.peer.forwarding.ForwardLinks;
import org.filbertrudder.peer.forwarding.ForwardListener;
import org.filbertrudder.peer.forwarding.ForwardSender;

/** Forwards requests to instances in other regions and receives the responses. */
final class GatewayForwardClient {

    private final ForwardSender mSender;

    GatewayForwardClient(ForwardLinks links) {
        mSender =
                new ForwardSender(
                        links, Clocks::steadyMs, ForwardLog::log, new EarlierForwardFormat());
    }

    /**
     * Forwards a request to a member, with the id of the last event that the caller has received.
     */
    Attempt start(
            Member member,
            GatewayExchange exchange,
            GatewaySnapshot snapshot,
            long remainingMs,
            AttemptListener listener) {
        // A caller may resume a stream as well, before this instance has relayed any event of it.
        boolean resumes = exchange.relay() != null || exchange.lastEventId() > 0;
        Long resumeAfter = resumes ? exchange.lastEventId() : null;
        return new ForwardAttempt(
                mSender.start(
                        member,
                        stream ->
                                new PeerMessage.ForwardStart(
                                        stream,
                                        exchange.head().requestId(),
                                        exchange.account().map(each -> each.id()).orElse(null),
                                        exchange.head()
                                                .apiKey()
                                                .map(KeyDigests::of)
                                                .orElse((KeyId) null),
                                        snapshot.configuration().version(),
                                        snapshot.self().region(),
                                        exchange.method(),
                                        exchange.uri(),
                                        exchange.head().passedHeaders(),
                                        exchange.body().getBytes(),
                                        remainingMs,
                                        exchange.service(),
                                        resumeAfter),
                        exchange::mayRunAgain,
                        new ResponseListener(exchange.head().requestId(), listener)));
    }

    /** Handles a message that belongs to a forwarded response; returns false for other messages. */
    boolean handle(ForwardLink from, PeerMessage message) {
        return mSender.handle(from, message);
    }

    void tick(long nowMs) {
        mSender.tick(nowMs);
    }

    void membersChanged(List<Member> members) {
        mSender.membersChanged(members);
    }

    /** Passes the response to the listener of an attempt. */
    private record ResponseListener(String requestId, AttemptListener listener)
            implements ForwardListener {

        @Override
        public void head(PeerMessage.ForwardHead head) {
            // A refusal counts as unsigned.
            Optional<ForwardRecords.Refusal> refusal = Optional.ofNullable(head.refusal());
            long retryAfterMs = refusal.map(ForwardRecords.Refusal::retryAfterMs).orElse(0L);
            listener.head(
                    new ResponseHead(
                            head.status(),
                            Optional.of(requestId),
                            refusal.map(ForwardRecords.Refusal::notRun).orElse(false),
                            refusal.isEmpty(),
                            false,
                            false,
                            retryAfterMs > 0 ? OptionalLong.of(retryAfterMs) : OptionalLong.empty(),
                            LimitStatement.NONE,
                            Optional.empty(),
                            OptionalLong.empty(),
                            head.headers(),
                            Set.of()));
        }

        @Override
        public void data(byte[] data) {
            listener.data(Buffer.buffer(data));
        }

        @Override
        public void ended() {
            listener.end();
        }

        @Override
        public void failed(Failure failure) {
            listener.failed(
                    failure == Failure.NOT_RUN
                            ? AttemptListener.Failure.NOT_SENT
                            : AttemptListener.Failure.INTERRUPTED);
        }
    }

    /** Represents an attempt that forwards its request to a member. */
    private record ForwardAttempt(ForwardCall call) implements Attempt {

        @Override
        public void cancel() {
            call.cancel();
        }

        @Override
        public void pause() {
            call.pause();
        }

        @Override
        public void resume() {
            call.resume();
        }
    }
}
