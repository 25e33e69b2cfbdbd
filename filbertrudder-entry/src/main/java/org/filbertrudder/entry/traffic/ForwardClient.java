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

/** Forwards requests to instances in other regions and receives their answers. */
final class ForwardClient {

    private final Context mThread;
    private final TrafficContext mContext;
    private final Map<Long, ForwardCall> mCalls = new HashMap<>();
    private final LinkReach mReach;
    private PeerNetwork mNetwork;
    private long mNextStream = 1;

    ForwardClient(Context thread, TrafficContext context, LinkReach reach) {
        mThread = thread;
        mContext = context;
        mReach = reach;
    }

    void setNetwork(PeerNetwork network) {
        mNetwork = network;
    }

    /** Runs an action on the traffic thread. */
    void execute(Runnable action) {
        mThread.runOnContext(ignored -> action.run());
    }

    /** Forwards a request to a member. */
    Upstream start(
            Member member,
            Exchange exchange,
            Map<String, String> attemptHeaders,
            UpstreamListener listener) {
        long stream = mNextStream++;
        ForwardCall call = new ForwardCall(stream, member.region(), listener);
        mCalls.put(stream, call);
        PeerMessage.ForwardStart message = message(stream, exchange, attemptHeaders);
        mNetwork.withConnection(
                new PeerAddress(member.host(), member.forwardPort()),
                connection -> {
                    if (connection == null) {
                        call.fail(UpstreamListener.Failure.NOT_SENT);
                    } else if (!call.mDone) {
                        call.open(connection);
                        mReach.charge(member.region(), exchange.incoming().body().length());
                        connection.send(message);
                    }
                });
        return call;
    }

    private PeerMessage.ForwardStart message(
            long stream, Exchange exchange, Map<String, String> attemptHeaders) {
        Exchange.Incoming incoming = exchange.incoming();
        Map<String, String> headers = new HashMap<>(incoming.headers());
        headers.putAll(attemptHeaders);
        return new PeerMessage.ForwardStart(
                stream,
                incoming.requestId(),
                incoming.account(),
                incoming.key(),
                mContext.snapshot().configuration().revision(),
                mContext.snapshot().self().region(),
                incoming.method(),
                "/services/" + incoming.service().id() + incoming.uri(),
                headers,
                incoming.body().getBytes(),
                incoming.deadlineMs() - mContext.nowMs());
    }

    /** Handles the parts of an answer; returns whether the message was one. */
    boolean handle(PeerConnection from, PeerMessage message) {
        if (message instanceof PeerMessage.ForwardHead head) {
            call(from, head.stream())
                    .ifPresent(call -> call.mListener.head(head.status(), head.headers()));
        } else if (message instanceof PeerMessage.ForwardData data) {
            call(from, data.stream()).ifPresent(call -> call.receive(data.data()));
        } else if (message instanceof PeerMessage.ForwardEnd end) {
            call(from, end.stream()).ifPresent(call -> call.end(end.complete()));
        } else {
            return false;
        }
        return true;
    }

    /** Returns the call that waits for answers on the connection. */
    private Optional<ForwardCall> call(PeerConnection from, long stream) {
        return Optional.ofNullable(mCalls.get(stream)).filter(call -> call.mConnection == from);
    }

    /** Represents one forwarded request. */
    private final class ForwardCall implements Upstream {

        private final long mStream;
        private final RegionId mRegion;
        private final UpstreamListener mListener;
        private PeerConnection mConnection;
        private PeerConnection.CloseAction mCloseAction;
        private boolean mDone;
        private boolean mPaused;
        private long mOwedBytes;

        ForwardCall(long stream, RegionId region, UpstreamListener listener) {
            mStream = stream;
            mRegion = region;
            mListener = listener;
        }

        void open(PeerConnection connection) {
            mConnection = connection;
            mCloseAction = connection.onClose(() -> fail(UpstreamListener.Failure.BROKEN));
        }

        private void finish() {
            mDone = true;
            mCalls.remove(mStream);
            if (mCloseAction != null) {
                mCloseAction.end();
            }
        }

        void receive(byte[] data) {
            mReach.charge(mRegion, data.length);
            mOwedBytes += data.length;
            mListener.data(Buffer.buffer(data));
            payBack();
        }

        private void payBack() {
            if (!mPaused && !mDone && mOwedBytes > 0) {
                mConnection.send(new PeerMessage.ForwardCredit(mStream, mOwedBytes));
                mOwedBytes = 0;
            }
        }

        void end(boolean complete) {
            if (!complete) {
                fail(UpstreamListener.Failure.BROKEN);
            } else if (!mDone) {
                finish();
                mListener.end();
            }
        }

        void fail(UpstreamListener.Failure failure) {
            if (!mDone) {
                finish();
                mListener.failed(failure);
            }
        }

        @Override
        public void cancel() {
            if (!mDone && mConnection != null) {
                mConnection.send(new PeerMessage.ForwardCancel(mStream));
            }
            finish();
        }

        @Override
        public void pause() {
            mPaused = true;
        }

        @Override
        public void resume() {
            mPaused = false;
            payBack();
        }
    }
}
