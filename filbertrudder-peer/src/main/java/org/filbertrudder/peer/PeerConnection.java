package org.filbertrudder.peer;

import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.ssl.SslHandler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.impl.NetSocketInternal;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.model.message.ProtocolVersions;
import org.filbertrudder.peer.forwarding.ForwardLink;

/** Exchanges messages with another instance over one TCP connection. */
public final class PeerConnection implements ForwardLink {

    private final NetSocket mSocket;
    private final PeerHandler mHandler;
    private final PeerCounters mCounters;
    private final Consumer<String> mProtocolErrorListener;
    private final Supplier<PeerMessage.Hello> mHello;
    private final FrameSplitter mFrames = new FrameSplitter();
    private final Set<CloseAction> mCloseActions = new LinkedHashSet<>();
    private boolean mHandshakeDone;
    private Member mPeerMember;
    private long mPeerLife;
    private int mPeerVersion;
    private boolean mHelloSent;
    private boolean mAwaitsAnswer;
    private long mAwaitedSinceMs;
    private boolean mOutputEnded;
    private boolean mClosed;

    PeerConnection(
            NetSocket socket,
            PeerHandler handler,
            PeerCounters counters,
            Supplier<PeerMessage.Hello> hello,
            Consumer<String> protocolErrorListener) {
        mSocket = socket;
        mHello = hello;
        mHandler = handler;
        mCounters = counters;
        mProtocolErrorListener = protocolErrorListener;
        socket.handler(this::onBytes);
        socket.exceptionHandler(failure -> socket.close());
        socket.closeHandler(ignored -> onSocketClosed());
    }

    private void onBytes(Buffer bytes) {
        if (mClosed) {
            return;
        }
        mAwaitsAnswer = false;
        mFrames.add(bytes);
        try {
            byte[] body = mFrames.next();
            while (body != null) {
                onFrameBody(body);
                body = mClosed ? null : mFrames.next();
            }
        } catch (MalformedFrameException e) {
            closeOnProtocolError(e.getMessage());
        }
    }

    private void onFrameBody(byte[] body) {
        mCounters.countReceived(MessageCodec.HEADER_BYTES + body.length);
        try {
            dispatch(MessageCodec.decode(body));
        } catch (MalformedFrameException e) {
            if (!refuseUnreadableForward(body)) {
                closeOnProtocolError(e.getMessage());
            }
        } catch (RuntimeException e) {
            closeOnProtocolError("a message whose handler failed: " + e);
        }
    }

    /** Refuses only the request, as the frame's length is right and others share the connection. */
    private boolean refuseUnreadableForward(byte[] body) {
        OptionalLong stream = UnreadableForward.streamIn(body);
        return mHandshakeDone
                && stream.isPresent()
                && mHandler.refuseUnreadableForward(this, stream.getAsLong());
    }

    private void dispatch(PeerMessage message) {
        if (message instanceof PeerMessage.Hello hello) {
            if (hello.version() < ProtocolVersions.OLDEST_SUPPORTED || hello.sender() == null) {
                closeOnProtocolError(
                        "a hello without sender or with protocol version " + hello.version());
                return;
            }
            mPeerMember = hello.sender();
            mPeerVersion = hello.version();
            boolean resumable =
                    hello.version() >= ProtocolVersions.RESUMABLE_FORWARDS
                            && mHello.get().life() != 0;
            mPeerLife = resumable ? hello.life() : 0;
            mHandshakeDone = true;
            sendHello();
        } else if (!mHandshakeDone) {
            closeOnProtocolError("a message before the hello message");
            return;
        }
        mHandler.handle(this, message);
    }

    private void closeOnProtocolError(String reason) {
        mCounters.countRejectedConnection();
        mProtocolErrorListener.accept("Peer " + mSocket.remoteAddress() + " sent " + reason);
        mClosed = true;
        close();
    }

    @Override
    public void send(PeerMessage message) {
        if (!mClosed && !mOutputEnded) {
            sendFrame(MessageCodec.encode(message));
        }
    }

    /** Sends an encoded message like {@link #send}. */
    void sendFrame(Buffer frame) {
        if (mClosed || mOutputEnded) {
            return;
        }
        mCounters.countSent(frame.length());
        mSocket.write(frame);
    }

    /**
     * Runs the action once when the connection closes, or immediately if it is already closed.
     *
     * @return the registration; unregister it when the action is no longer needed, because
     *     connections are long-lived and would accumulate actions
     */
    public CloseAction onClose(Runnable action) {
        CloseAction registration = new CloseAction(action);
        if (mClosed) {
            action.run();
        } else {
            mCloseActions.add(registration);
        }
        return registration;
    }

    @Override
    public void whenClosed(Runnable action) {
        onClose(action);
    }

    /** Returns the number of registered close actions. */
    int closeActionCount() {
        return mCloseActions.size();
    }

    /**
     * Returns the member at the other end; null before its hello message. A peer of an earlier
     * release sends none on a connection that it has accepted.
     */
    @Override
    public Member peerMember() {
        return mPeerMember;
    }

    @Override
    public long peerLife() {
        return mPeerLife;
    }

    @Override
    public int peerVersion() {
        return mPeerVersion;
    }

    /** Sends the hello message, which comes first in both directions. */
    void sendHello() {
        if (!mHelloSent) {
            mHelloSent = true;
            mHandshakeDone = true;
            send(mHello.get());
        }
    }

    /**
     * Records that a message was sent that is answered at once. Only a peer that has sent a hello
     * message answers on this connection.
     */
    void awaitAnswer(long nowMs) {
        if (!mAwaitsAnswer && mPeerMember != null) {
            mAwaitsAnswer = true;
            mAwaitedSinceMs = nowMs;
        }
    }

    /** Excludes a time in which this instance did not read from the wait for an answer. */
    void excludeFromWait(long ms) {
        mAwaitedSinceMs += ms;
    }

    /** Returns for how long an answer is awaited while nothing is received, in milliseconds. */
    long awaitedForMs(long nowMs) {
        return mAwaitsAnswer ? nowMs - mAwaitedSinceMs : 0;
    }

    @Override
    public void close() {
        // The socket would first flush its output, which a silent peer never reads; so would TLS.
        ((NetSocketInternal) mSocket)
                .channelHandlerContext()
                .channel()
                .pipeline()
                .firstContext()
                .close();
    }

    /**
     * Ends the output after the messages that have been sent. The peer reads them and then closes
     * the connection; until then its messages are still received.
     *
     * @return completes when the connection has closed
     */
    @Override
    public CompletableFuture<Void> endOutput() {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        onClose(() -> closed.complete(null));
        if (!mClosed && !mOutputEnded) {
            mOutputEnded = true;
            // Ending the output of a channel drops what it has not written yet.
            mSocket.write(Buffer.buffer())
                    .onSuccess(ignored -> shutDownOutput())
                    .onFailure(ignored -> mSocket.close());
        }
        return closed;
    }

    private void shutDownOutput() {
        Channel channel = ((NetSocketInternal) mSocket).channelHandlerContext().channel();
        SslHandler tls = channel.pipeline().get(SslHandler.class);
        if (!(channel instanceof DuplexChannel duplex)) {
            mSocket.close();
        } else if (tls == null) {
            duplex.shutdownOutput();
        } else {
            tls.closeOutbound().addListener(ignored -> duplex.shutdownOutput());
        }
    }

    private void onSocketClosed() {
        mClosed = true;
        List<CloseAction> actions = List.copyOf(mCloseActions);
        mCloseActions.clear();
        actions.forEach(closeAction -> closeAction.mAction.run());
    }

    /** Registration of an action that runs when the connection closes. */
    public final class CloseAction {

        private final Runnable mAction;

        private CloseAction(Runnable action) {
            mAction = action;
        }

        /** Removes the registration, so that the action does not run. */
        public void unregister() {
            mCloseActions.remove(this);
        }
    }
}
