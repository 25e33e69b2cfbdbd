package org.filbertrudder.entry.traffic;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerConnection;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.policy.membership.PeerAddress;

/** Forwards requests to instances in other regions and receives the responses. */
final class ForwardClient {

    private final Context mEventLoop;
    private final TrafficContext mContext;
    private final Map<Long, ForwardCall> mCalls = new HashMap<>();
    private final LinkAvailability mLinkAvailability;
    private PeerNetwork mPeerNetwork;
    private long mNextStreamId = 1;

    ForwardClient(Context eventLoop, TrafficContext context, LinkAvailability linkAvailability) {
        mEventLoop = eventLoop;
        mContext = context;
        mLinkAvailability = linkAvailability;
    }

    void setPeerNetwork(PeerNetwork peerNetwork) {
        mPeerNetwork = peerNetwork;
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
        long streamId = mNextStreamId++;
        ForwardCall call = new ForwardCall(streamId, member.region(), listener);
        mCalls.put(streamId, call);
        PeerMessage.ForwardStart startMessage = startMessage(streamId, exchange, attemptHeaders);
        mPeerNetwork.withConnection(
                PeerAddress.ofForwards(member),
                connection -> {
                    if (connection == null) {
                        call.fail(UpstreamListener.Failure.NOT_SENT);
                    } else if (!call.mDone) {
                        call.open(connection);
                        mLinkAvailability.charge(
                                member.region(), exchange.request().body().length());
                        connection.send(startMessage);
                    }
                });
        return call;
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
                request.deadlineMs() - mContext.nowMs());
    }

    /** Handles a message that is part of a response; returns false for any other message. */
    boolean handle(PeerConnection from, PeerMessage message) {
        if (message instanceof PeerMessage.ForwardHead head) {
            call(from, head.stream())
                    .ifPresent(call -> call.mListener.onHead(head.status(), head.headers()));
        } else if (message instanceof PeerMessage.ForwardData data) {
            call(from, data.stream()).ifPresent(call -> call.receive(data.data()));
        } else if (message instanceof PeerMessage.ForwardEnd end) {
            call(from, end.stream()).ifPresent(call -> call.end(end.complete()));
        } else {
            return false;
        }
        return true;
    }

    /** Returns the call of the stream if it was opened on this connection. */
    private Optional<ForwardCall> call(PeerConnection from, long streamId) {
        return Optional.ofNullable(mCalls.get(streamId)).filter(call -> call.mConnection == from);
    }

    /** Represents one forwarded request and its response stream. */
    private final class ForwardCall implements UpstreamCall {

        private final long mStreamId;
        private final RegionId mRegion;
        private final UpstreamListener mListener;
        private PeerConnection mConnection;
        private PeerConnection.CloseAction mCloseAction;
        private boolean mDone;
        private boolean mPaused;
        private long mBytesToCredit;

        ForwardCall(long streamId, RegionId region, UpstreamListener listener) {
            mStreamId = streamId;
            mRegion = region;
            mListener = listener;
        }

        void open(PeerConnection connection) {
            mConnection = connection;
            mCloseAction = connection.onClose(() -> fail(UpstreamListener.Failure.BROKEN));
        }

        private void close() {
            mDone = true;
            mCalls.remove(mStreamId);
            if (mCloseAction != null) {
                mCloseAction.unregister();
            }
        }

        void receive(byte[] data) {
            mLinkAvailability.charge(mRegion, data.length);
            mBytesToCredit += data.length;
            mListener.onData(Buffer.buffer(data));
            sendCredit();
        }

        private void sendCredit() {
            if (!mPaused && !mDone && mBytesToCredit > 0) {
                mConnection.send(new PeerMessage.ForwardCredit(mStreamId, mBytesToCredit));
                mBytesToCredit = 0;
            }
        }

        void end(boolean complete) {
            mConnection.send(
                    new PeerMessage.ForwardCredit(
                            mStreamId, mBytesToCredit + ForwardServer.END_CREDIT_BYTES));
            if (!complete) {
                fail(UpstreamListener.Failure.BROKEN);
            } else if (!mDone) {
                close();
                mListener.onEnd();
            }
        }

        void fail(UpstreamListener.Failure failure) {
            if (!mDone) {
                close();
                mListener.onFailure(failure);
            }
        }

        @Override
        public void cancel() {
            if (!mDone && mConnection != null) {
                mConnection.send(new PeerMessage.ForwardCancel(mStreamId));
            }
            close();
        }

        @Override
        public void pause() {
            mPaused = true;
        }

        @Override
        public void resume() {
            mPaused = false;
            sendCredit();
        }
    }
}
