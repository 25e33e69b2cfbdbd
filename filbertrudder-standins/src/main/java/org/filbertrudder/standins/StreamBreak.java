package org.filbertrudder.standins;

/** Breaks one stream of all engines after a number of bytes. */
final class StreamBreak {

    private int mBytesLeft = -1;

    void set(int afterBytes) {
        mBytesLeft = afterBytes;
    }

    /** Returns how much of the text can still be written, or its length if no break is due. */
    int writable(int length) {
        if (mBytesLeft < 0) {
            return length;
        }
        if (mBytesLeft < length) {
            int part = mBytesLeft;
            mBytesLeft = -1;
            return part;
        }
        mBytesLeft -= length;
        return length;
    }
}
