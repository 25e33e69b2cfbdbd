package org.filbertrudder.entry.traffic;

import org.filbertrudder.peer.forwarding.HeldBytes;

/**
 * Decides whether a connection may go on reading a head, by the memory that its lines take.
 *
 * <p>A head is charged from its first byte to the end of its request.
 */
public final class HeadBudget {

    /**
     * The memory of one line beside its text, in bytes. Measured with Vert.x 4.5.27 and short
     * lines: 98 for an empty value and 146 for another one in the parser, 144 and 196 once the
     * names have been read as strings, and 48 for the entry of a map of the passed headers.
     */
    public static final long BYTES_PER_LINE = 240;

    /** The text is held once as received and once as parsed. */
    public static final long COPIES_OF_TEXT = 2;

    /**
     * The memory up to which a head may use the whole bound, in bytes; larger ones may use three
     * quarters of it, so that they leave room for ordinary heads.
     */
    public static final long ORDINARY_BYTES = 16 * 1_024;

    /** The bytes before a request line that are skipped: 1,024 empty lines. */
    public static final long MAX_EMPTY_BYTES = 2 * 1_024;

    /** Lists what may happen to a connection that has received a part of a head. */
    public enum Decision {
        READ,
        REFUSE_TOO_LONG,
        REFUSE_OVERLOADED,
        CLOSE_OVERLOADED,
        CLOSE_EMPTY_LINES
    }

    private final long mMaxHeadBytes;
    private final HeldBytes mBound;
    private final HeldBytes.Hold mHold;

    /**
     * Creates the budget of one connection.
     *
     * @param bound the bound for the heads of all connections
     * @param maxHeadBytes the maximum size of the header lines of a request, in bytes
     */
    public HeadBudget(HeldBytes bound, long maxHeadBytes) {
        mBound = bound;
        mMaxHeadBytes = maxHeadBytes;
        mHold = bound.newHold();
    }

    /** Charges the head for what has been received of it so far, and decides what to do. */
    public Decision charge(HeadSize size) {
        if (size.emptyBytes() > MAX_EMPTY_BYTES) {
            return Decision.CLOSE_EMPTY_LINES;
        }
        if (size.fieldBytes() > mMaxHeadBytes) {
            return Decision.REFUSE_TOO_LONG;
        }
        if (tryHold(estimatedBytes(size))) {
            return Decision.READ;
        }
        return size.hasRequestLine() ? Decision.REFUSE_OVERLOADED : Decision.CLOSE_OVERLOADED;
    }

    /** Returns the estimated memory of a head, in bytes. */
    public static long estimatedBytes(HeadSize size) {
        return COPIES_OF_TEXT * (size.lineBytes() + size.fieldBytes())
                + BYTES_PER_LINE * size.lines();
    }

    private boolean tryHold(long bytes) {
        long added = bytes - mHold.bytes();
        if (added <= 0) {
            return true;
        }
        long largeMaxBytes = mBound.maxBytes() / 4 * 3;
        boolean leavesRoom = bytes <= ORDINARY_BYTES || mBound.heldBytes() + added <= largeMaxBytes;
        return leavesRoom && mHold.tryAdd(added);
    }

    /** Releases the memory of a request that has ended. */
    public void release() {
        mHold.release();
    }
}
