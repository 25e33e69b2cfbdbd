package org.filbertrudder.peer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.filbertrudder.model.message.Capabilities;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;

/** Represents one TCP connection to another instance. */
public final class PeerConnection {

    private final NetSocket mSocket;
    private final PeerHandler mHandler;
    private final PeerCounters mCounters;
    private final Consumer<String> mOnViolation;
    private final RecordParser mParser = RecordParser.newFixed(MessageCodec.HEADER_BYTES);
    private final Set<CloseAction> mCloseActions = new LinkedHashSet<>();
    private boolean mExpectsHeader = true;
    private boolean mGreeted;
    private Member mPeer;
    private boolean mClosed;

    PeerConnection(
            NetSocket socket,
            PeerHandler handler,
            PeerCounters counters,
            Consumer<String> onViolation) {
        mSocket = socket;
        mHandler = handler;
        mCounters = counters;
        mOnViolation = onViolation;
        mParser.setOutput(this::receive);
        socket.handler(mParser);
        socket.exceptionHandler(failure -> socket.close());
        socket.closeHandler(done -> closed());
    }

    private void receive(Buffer buffer) {
        if (mClosed) {
            return;
        }
        if (mExpectsHeader) {
            receiveHeader(buffer.getInt(0));
        } else {
            mParser.fixedSizeMode(MessageCodec.HEADER_BYTES);
            mExpectsHeader = true;
            receiveBody(buffer);
        }
    }

    private void receiveHeader(int length) {
        if (length <= 0 || length > MessageCodec.MAX_FRAME_BYTES) {
            reject("a frame of " + length + " bytes");
            return;
        }
        mParser.fixedSizeMode(length);
        mExpectsHeader = false;
    }

    private void receiveBody(Buffer body) {
        mCounters.received(MessageCodec.HEADER_BYTES + body.length());
        try {
            dispatch(MessageCodec.decode(body));
        } catch (MalformedFrameException e) {
            reject(e.getMessage());
        } catch (RuntimeException e) {
            reject("a message that cannot be handled: " + e);
        }
    }

    private void dispatch(PeerMessage message) {
        if (message instanceof PeerMessage.Hello hello) {
            if (hello.version() < Capabilities.OLDEST_VERSION || hello.sender() == null) {
                reject("protocol version " + hello.version());
                return;
            }
            mPeer = hello.sender();
            mGreeted = true;
        } else if (!mGreeted) {
            reject("a message before the first greeting");
            return;
        }
        mHandler.handle(this, message);
    }

    private void reject(String reason) {
        mCounters.countRejected();
        mOnViolation.accept("Peer " + mSocket.remoteAddress() + " sent " + reason);
        mClosed = true;
        mSocket.close();
    }

    /** Sends a message; it is lost if the connection is closed. */
    public void send(PeerMessage message) {
        if (mClosed) {
            return;
        }
        Buffer frame = MessageCodec.encode(message);
        mCounters.sent(frame.length());
        mSocket.write(frame);
    }

    /**
     * Runs the action once when the connection is closed.
     *
     * @return the registration; whoever no longer needs it must end it, as connections live long
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

    /** Returns the number of actions that wait for the connection to close. */
    int closeActions() {
        return mCloseActions.size();
    }

    /** Returns the member that opened the connection; null before its greeting. */
    public Member peer() {
        return mPeer;
    }

    /** Opens an outgoing connection with a greeting; the other side answers without one. */
    void greet(PeerMessage.Hello hello) {
        mGreeted = true;
        send(hello);
    }

    /** Closes the connection. */
    public void close() {
        mSocket.close();
    }

    private void closed() {
        mClosed = true;
        List<CloseAction> actions = List.copyOf(mCloseActions);
        mCloseActions.clear();
        actions.forEach(each -> each.mAction.run());
    }

    /** Represents an action that runs when the connection closes. */
    public final class CloseAction {

        private final Runnable mAction;

        private CloseAction(Runnable action) {
            mAction = action;
        }

        /** Forgets the action. */
        public void end() {
            mCloseActions.remove(this);
        }
    }
}
