package org.filbertrudder.policy.freshness;

/**
 * Decides when an instance that has started may follow the configuration that it has read from the
 * store, as the store may have lost a newer one that other instances follow.
 *
 * <p>The consultation ends when a peer has replied that has a confirmed state or a newer version,
 * when as many peers have replied as were asked, or when the time for it is over. All times are
 * readings of one steady clock in milliseconds.
 */
public final class PeerConsultation {

    /** The number of peers to ask at a time. */
    public static final int PEERS = 4;

    /** How long to wait for replies once the store has been read, in milliseconds. */
    public static final long MAX_WAIT_MS = 1_000;

    private boolean mEnded;
    private long mEndMs = Long.MAX_VALUE;
    private long mRequestId;
    private int mAsked;
    private int mReplies;

    /** Returns whether the consultation has ended. */
    public boolean hasEnded() {
        return mEnded;
    }

    /** Records that the store has been read. */
    public void noteStoreRead(long nowMs) {
        mEndMs = Math.min(mEndMs, nowMs + MAX_WAIT_MS);
    }

    /** Records that a request was sent to a number of peers. */
    public void begin(long requestId, int asked) {
        mRequestId = requestId;
        mAsked = asked;
        mReplies = 0;
    }

    /**
     * Records the reply of a peer; returns whether it ends the consultation.
     *
     * @param knowsState whether the peer has a confirmed state, or a newer version than was known
     */
    public boolean handleReply(long requestId, boolean knowsState) {
        if (requestId == mRequestId) {
            mReplies++;
        }
        return endIf(knowsState || mReplies >= mAsked);
    }

    /** Returns whether the consultation ends now without a reply. */
    public boolean checkEnd(boolean mayHavePeers, long nowMs) {
        boolean isStoreRead = mEndMs != Long.MAX_VALUE;
        return endIf(nowMs >= mEndMs || (isStoreRead && !mayHavePeers));
    }

    private boolean endIf(boolean condition) {
        boolean ends = condition && !mEnded;
        mEnded |= condition;
        return ends;
    }
}
