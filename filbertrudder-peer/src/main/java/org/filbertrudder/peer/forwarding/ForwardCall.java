package org.filbertrudder.peer.forwarding;

import java.util.function.BooleanSupplier;
import org.filbertrudder.model.message.ForwardRecords;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;

/** Represents a forwarded request at the instance that forwards it. */
public final class ForwardCall {

    /** The number of received bytes after which credit for them is granted. */
    private static final long CREDIT_STEP_BYTES = 64 * 1024;

    private final SenderSession mSession;
    private final Member mMember;
    private final BooleanSupplier mRepeatable;
    private final ForwardListener mListener;
    private final long mStream;
    private PeerMessage.ForwardStart mUnsent;
    private int mReceivedParts;
    private long mCreditedBytes;
    private long mUncreditedBytes;
    private boolean mAnswered;
    private boolean mPaused;
    private boolean mDone;

    ForwardCall(
            SenderSession session,
            Member member,
            PeerMessage.ForwardStart message,
            BooleanSupplier repeatable,
            ForwardListener listener) {
        mSession = session;
        mMember = member;
        mStream = message.stream();
        mUnsent = message;
        mRepeatable = repeatable;
        mListener = listener;
    }

    /** Returns the member to which the request is forwarded. */
    Member member() {
        return mMember;
    }

    /** Returns whether the request may be sent to an instance that names itself so. */
    boolean isMeantFor(Member peer) {
        return SenderSession.isSameInstance(mMember, peer);
    }

    long stream() {
        return mStream;
    }

    boolean isSent() {
        return mUnsent == null;
    }

    boolean isAnswered() {
        return mAnswered;
    }

    boolean isRepeatable() {
        return mRepeatable.getAsBoolean();
    }

    void send(ForwardLink link, ForwardTranslation translation) {
        link.send(translation.toReceiver(mUnsent, link.peerVersion()));
        mUnsent = null;
    }

    ForwardRecords.Open position() {
        return new ForwardRecords.Open(mStream, mReceivedParts, mCreditedBytes);
    }

    void receive(PeerMessage.ForwardHead head) {
        mReceivedParts++;
        mAnswered = true;
        mListener.head(head);
    }

    void receive(PeerMessage.ForwardData data) {
        mReceivedParts++;
        mUncreditedBytes += data.data().length;
        mListener.data(data.data());
        if (!mPaused && !mDone && mUncreditedBytes >= CREDIT_STEP_BYTES) {
            grantCredit();
        }
    }

    void receive(PeerMessage.ForwardEnd end) {
        // The credit for the end acknowledges it, so that the receiver can forget the response.
        mUncreditedBytes += ForwardedResponse.END_BYTES;
        grantCredit();
        if (!end.complete()) {
            fail(ForwardListener.Failure.INTERRUPTED);
        } else if (finish()) {
            mListener.ended();
        }
    }

    private void grantCredit() {
        if (mSession.send(new PeerMessage.ForwardCredit(mStream, mUncreditedBytes))) {
            mCreditedBytes += mUncreditedBytes;
            mUncreditedBytes = 0;
        }
    }

    void fail(ForwardListener.Failure failure) {
        if (finish()) {
            mListener.failed(failure);
        }
    }

    private boolean finish() {
        if (mDone) {
            return false;
        }
        mDone = true;
        mSession.remove(this);
        return true;
    }

    /** Cancels the request; its listener is not called afterwards. */
    public void cancel() {
        if (finish() && isSent()) {
            mSession.cancel(mStream);
        }
    }

    /** Withholds credit until {@link #resume()}, so that the response pauses. */
    public void pause() {
        mPaused = true;
    }

    /** Grants the credit that has been withheld. */
    public void resume() {
        mPaused = false;
        if (!mDone && mUncreditedBytes >= CREDIT_STEP_BYTES) {
            grantCredit();
        }
    }
}
