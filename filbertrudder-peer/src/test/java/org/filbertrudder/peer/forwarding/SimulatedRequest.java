package org.filbertrudder.peer.forwarding;

import io.vertx.core.buffer.Buffer;
import java.util.HashSet;
import java.util.Set;
import org.filbertrudder.model.message.PeerMessage;

/** A forwarded request with what its sender has received. */
final class SimulatedRequest implements ForwardListener {

    final String mId;
    final int mParts;
    final Set<ForwardedResponse> mOpenRuns = new HashSet<>();
    final Buffer mReceived = Buffer.buffer();
    long mPartIntervalMs = 50;
    ForwardCall mCall;
    int mRuns;
    int mCancelledRuns;
    int mHeads;
    int mEnds;
    boolean mSent;
    boolean mRepeatable;
    boolean mCancelled;
    boolean mReceiverEnded;
    boolean mSenderEnded;
    boolean mRefused;
    Failure mFailure;

    SimulatedRequest(String id, int parts) {
        mId = id;
        mParts = parts;
    }

    byte[] part(int index) {
        byte[] bytes = new byte[SimulatedForwards.PART_BYTES];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) (mId.hashCode() + index * 31 + i);
        }
        return bytes;
    }

    void cancel() {
        mCancelled = true;
        mCall.cancel();
    }

    void cancelIfOpen() {
        if (!isSettled()) {
            cancel();
        }
    }

    /** Returns what is wrong; empty if the invariants hold so far. */
    String violation() {
        if (mRuns > 1) {
            return "ran " + mRuns + " times";
        }
        if (mEnds > 1 || mHeads > 1 || mEnds == 1 && mFailure != null) {
            return "ended more than once";
        }
        if (mFailure == Failure.NOT_RUN && mRuns > 0) {
            return "not run is wrong";
        }
        Buffer expected = Buffer.buffer();
        for (int i = 0; i < mParts; i++) {
            expected.appendBytes(part(i));
        }
        boolean prefix =
                mReceived.length() <= expected.length()
                        && expected.getBuffer(0, mReceived.length()).equals(mReceived);
        if (!prefix) {
            return "bytes are lost, doubled or reordered";
        }
        return mEnds == 1 && !mRefused && mReceived.length() < expected.length()
                ? "complete without all bytes"
                : "";
    }

    boolean isSettled() {
        return mEnds == 1 || mFailure != null || mCancelled || mSenderEnded;
    }

    @Override
    public void head(PeerMessage.ForwardHead head) {
        mHeads++;
    }

    @Override
    public void data(byte[] data) {
        mReceived.appendBytes(data);
    }

    @Override
    public void ended() {
        mEnds++;
    }

    @Override
    public void failed(Failure failure) {
        mFailure = failure;
    }

    @Override
    public String toString() {
        return mId
                + ": runs "
                + mRuns
                + ", heads "
                + mHeads
                + ", bytes "
                + mReceived.length()
                + ", ends "
                + mEnds
                + ", "
                + mFailure;
    }
}
