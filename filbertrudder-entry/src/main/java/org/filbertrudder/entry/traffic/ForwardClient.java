package org.filbertrudder.entry.traffic;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.filbertrudder.entry.log.ForwardLog;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.forwarding.ForwardCall;
import org.filbertrudder.peer.forwarding.ForwardLink;
import org.filbertrudder.peer.forwarding.ForwardLinks;
import org.filbertrudder.peer.forwarding.ForwardListener;
import org.filbertrudder.peer.forwarding.ForwardSender;

/** Forwards requests to instances in other regions and receives the responses. */
final class ForwardClient {

    private final Context mEventLoop;
    private final TrafficContext mContext;
    private final LinkAvailability mLinkAvailability;
    private final ForwardSender mSender;

    ForwardClient(
            Context eventLoop,
            TrafficContext context,
            LinkAvailability linkAvailability,
            ForwardLinks links) {
        mEventLoop = eventLoop;
        mContext = context;
        mLinkAvailability = linkAvailability;
        mSender = new ForwardSender(links, context.clockMs(), ForwardLog::log);
    }

    /** Runs an action on the event loop of this client's traffic thread. */
    void runOnEventLoop(Runnable action) {
        mEventLoop.runOnContext(ignored -> action.run());
    }

    /** Forwards a request to the member; the listener receives the response. */
    UpstreamCall start(
            Member member,
            Exchange exchange,
            Map<String, String> attemptHeaders,
            UpstreamListener listener) {
        mLinkAvailability.charge(member.region(), exchange.request().body().length());
        return new RemoteCall(
                mSender.start(
                        member,
                        stream -> startMessage(stream, exchange, attemptHeaders),
                        exchange::mayRunAgain,
                        new ResponseListener(member.region(), listener)));
    }

    private PeerMessage.ForwardStart startMessage(
            long streamId, Exchange exchange, Map<String, String> attemptHeaders) {
        Exchange.Request request = exchange.request();
        Map<String, String> headers = new HashMap<>(request.headers());
        headers.putAll(attemptHeaders);
        return new PeerMessage.ForwardStart(
                streamId,
                request.requestId(),
                request.account(),
                request.key(),
                mContext.snapshot().configuration().revision(),
                mContext.snapshot().self().region(),
                request.method(),
                "/services/" + request.service().id() + request.uri(),
                headers,
                request.body().getBytes(),
                request.deadlineMs() - mContext.nowMs(),
                null,
                null);
    }

    /** Handles a message that is part of a response; returns false for any other message. */
    boolean handle(ForwardLink from, PeerMessage message) {
        return mSender.handle(from, message);
    }

    void tick() {
        mSender.tick(mContext.nowMs());
    }

    void membersChanged(List<Member> members) {
        mSender.membersChanged(members);
    }

    /** Passes the response to the listener of an attempt. */
    private final class ResponseListener implements ForwardListener {

        private final RegionId mRegion;
        private final UpstreamListener mListener;

        ResponseListener(RegionId region, UpstreamListener listener) {
            mRegion = region;
            mListener = listener;
        }

        @Override
        public void head(PeerMessage.ForwardHead head) {
            mListener.onHead(head.status(), head.headers());
        }

        @Override
        public void data(byte[] data) {
            mLinkAvailability.charge(mRegion, data.length);
            mListener.onData(Buffer.buffer(data));
        }

        @Override
        public void ended() {
            mListener.onEnd();
        }

        @Override
        public void failed(Failure failure) {
            // A forward can fail while it is started, before the exchange knows its call.
            runOnEventLoop(
                    () ->
                            mListener.onFailure(
                                    failure == Failure.NOT_RUN
                                            ? UpstreamListener.Failure.NOT_SENT
                                            : UpstreamListener.Failure.BROKEN));
        }
    }

    /** Represents an attempt that forwards its request to a member. */
    private record RemoteCall(ForwardCall call) implements UpstreamCall {

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
