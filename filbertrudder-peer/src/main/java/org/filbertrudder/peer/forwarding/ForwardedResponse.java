package org.filbertrudder.peer.forwarding;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import org.filbertrudder.model.message.ForwardRecords;
import org.filbertrudder.model.message.PeerMessage;

/**
 * Sends the response to a forwarded request, limited by the credit that the other instance grants.
 *
 * <p>The parts that are not acknowledged by credit are retained, so that the response can go on
 * over another link.
 */
public final class ForwardedResponse {

    /** The credit that acknowledges the end of a response. */
    static final long END_BYTES = 1;

    /**
     * The flow-control window: the bytes of a response that may be sent before the other instance
     * grants credit.
     */
    private static final long WINDOW_BYTES = 256 * 1024;

    /** The bytes that a retained part occupies beside its data. */
    private static final int PART_OVERHEAD_BYTES = 64;

    private final ReceiverSession mSession;
    private final long mStream;
    private final HeldBytes.Hold mHold;
    private final Deque<Part> mRetained = new ArrayDeque<>();
    private boolean mRetains;
    private int mParts;
    private long mWrittenBytes;
    private long mCreditedBytes;
    private boolean mHeadSent;
    private boolean mEnded;
    private boolean mClosed;
    private Runnable mOnDrain;
    private Runnable mOnCancel;
    private Runnable mOnClose;

    ForwardedResponse(ReceiverSession session, long stream, HeldBytes retained) {
        mSession = session;
        mStream = stream;
        mHold = retained.newHold();
        mRetains = session.isResumable();
    }

    long stream() {
        return mStream;
    }

    /**
     * Sets what happens when the request is cancelled; runs the action at once if it is already.
     */
    public void onCancel(Runnable action) {
        if (mClosed && !mEnded) {
            action.run();
        } else {
            mOnCancel = action;
        }
    }

    /** Runs the action once the response has ended or the request is cancelled. */
    public void onClose(Runnable action) {
        mOnClose = action;
    }

    /** Returns the protocol version that the instance which forwarded the request supports. */
    public int senderVersion() {
        return mSession.senderVersion();
    }

    /** Sends the status and the headers. */
    public void sendHead(int status, Map<String, String> headers) {
        sendHead(status, headers, null);
    }

    /**
     * Sends the status and the headers.
     *
     * @param refusal null for the response of an endpoint
     */
    public void sendHead(int status, Map<String, String> headers, ForwardRecords.Refusal refusal) {
        mHeadSent = true;
        send(new PeerMessage.ForwardHead(mStream, status, headers, refusal), 0);
    }

    /** Returns whether the status and the headers have been sent. */
    public boolean headSent() {
        return mHeadSent;
    }

    /** Sends part of the body. */
    public void write(Buffer data) {
        if (data.length() > 0) {
            send(new PeerMessage.ForwardData(mStream, data.getBytes()), data.length());
        }
    }

    /** Returns whether more has been written than the other instance has granted credit for. */
    public boolean writeQueueFull() {
        return mWrittenBytes - mCreditedBytes > WINDOW_BYTES;
    }

    /** Runs the action once, when credit has been granted. */
    public void onDrain(Runnable action) {
        mOnDrain = action;
    }

    /** Ends the response. */
    public void end(boolean complete) {
        if (mEnded || mClosed) {
            return;
        }
        mEnded = true;
        send(new PeerMessage.ForwardEnd(mStream, complete), END_BYTES);
        close();
        if (!mRetains) {
            mSession.remove(mStream);
        }
    }

    private void send(PeerMessage message, long bytes) {
        if (mClosed) {
            return;
        }
        mParts++;
        mWrittenBytes += bytes;
        if (mRetains) {
            if (mHold.tryAdd(bytes + PART_OVERHEAD_BYTES)) {
                mRetained.add(new Part(message, bytes, mWrittenBytes));
            } else {
                stopRetaining();
            }
        }
        mSession.send(message);
    }

    /** Gives up that the response can go on over another link, as too many bytes are retained. */
    private void stopRetaining() {
        mRetains = false;
        mRetained.clear();
        mHold.release();
        mSession.log(
                "A forwarded response can no longer move to another connection.",
                Map.of("stream", mStream, "written", mWrittenBytes));
        if (!mSession.isLinked()) {
            cancel();
        }
    }

    /** Returns whether the response can go on over another link. */
    boolean isResumable() {
        return mRetains;
    }

    boolean isEnded() {
        return mEnded;
    }

    /** Grants credit; returns false if it exceeds what was written. */
    boolean credit(long bytes) {
        return acknowledge(mCreditedBytes + bytes);
    }

    private boolean acknowledge(long creditedBytes) {
        if (creditedBytes < mCreditedBytes || creditedBytes > mWrittenBytes) {
            return false;
        }
        mCreditedBytes = creditedBytes;
        while (!mRetained.isEmpty()
                && mCreditedBytes > 0
                && mRetained.peek().endBytes() <= mCreditedBytes) {
            mHold.release(mRetained.poll().bytes() + PART_OVERHEAD_BYTES);
        }
        if (mEnded && mCreditedBytes == mWrittenBytes) {
            forget();
        } else if (!writeQueueFull() && mOnDrain != null) {
            Runnable action = mOnDrain;
            mOnDrain = null;
            action.run();
        }
        return true;
    }

    /**
     * Sends again what the other instance has not received; returns false if that is impossible.
     */
    boolean resume(int receivedParts, long creditedBytes) {
        int retainedFrom = mParts - mRetained.size();
        if (!mRetains || receivedParts < retainedFrom || receivedParts > mParts) {
            return false;
        }
        mRetained.stream()
                .skip(receivedParts - retainedFrom)
                .forEach(part -> mSession.send(part.message()));
        return acknowledge(Math.max(mCreditedBytes, creditedBytes));
    }

    /** Cancels the request and forgets the response. */
    void cancel() {
        if (!mEnded && !mClosed) {
            close();
            if (mOnCancel != null) {
                mOnCancel.run();
            }
        }
        forget();
    }

    private void close() {
        mClosed = true;
        mOnDrain = null;
        if (mOnClose != null) {
            mOnClose.run();
        }
    }

    private void forget() {
        mRetained.clear();
        mHold.release();
        mSession.remove(mStream);
    }

    /**
     * A part that is retained.
     *
     * @param bytes the bytes that count for the credit
     * @param endBytes the bytes written up to the end of this part
     */
    private record Part(PeerMessage message, long bytes, long endBytes) {}
}
