package org.filbertrudder.standins;

/** Truncates the streams of all engines of a process once, after a total number of bytes. */
final class StreamTruncation {

    private int mBytesUntilTruncation = -1;

    /** Schedules the truncation after a number of bytes; a negative number disables it. */
    void set(int afterBytes) {
        mBytesUntilTruncation = afterBytes;
    }

    /**
     * Returns how many bytes of a text of the given length to write; fewer than its length means
     * that the connection must be closed after them.
     */
    int writableLength(int length) {
        if (mBytesUntilTruncation < 0) {
            return length;
        }
        if (mBytesUntilTruncation < length) {
            int truncatedLength = mBytesUntilTruncation;
            mBytesUntilTruncation = -1;
            return truncatedLength;
        }
        mBytesUntilTruncation -= length;
        return length;
    }
}
