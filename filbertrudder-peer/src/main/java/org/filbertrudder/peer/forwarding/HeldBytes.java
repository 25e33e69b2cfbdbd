package org.filbertrudder.peer.forwarding;

/** Bounds the bytes that an instance holds at the same time for all requests. */
public final class HeldBytes {

    private final long mMaxBytes;
    private long mHeldBytes;

    /** Creates a bound in bytes. */
    public HeldBytes(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Creates a bound of one of so many equal parts of the heap of this process. */
    public static HeldBytes ofHeapPart(int parts) {
        return new HeldBytes(Runtime.getRuntime().maxMemory() / parts);
    }

    /** Returns a hold for one request, which has no bytes yet. */
    public Hold newHold() {
        return new Hold();
    }

    /** The bytes that are held for one request. */
    public final class Hold {

        private long mBytes;

        /** Holds further bytes; returns false, and holds none of them, if they exceed the bound. */
        public boolean tryAdd(long bytes) {
            if (bytes > mMaxBytes - mHeldBytes) {
                return false;
            }
            mHeldBytes += bytes;
            mBytes += bytes;
            return true;
        }

        /** Returns the bytes of this hold. */
        public long bytes() {
            return mBytes;
        }

        /** Releases some of the bytes. */
        public void release(long bytes) {
            mHeldBytes -= bytes;
            mBytes -= bytes;
        }

        /** Releases all bytes. */
        public void release() {
            release(mBytes);
        }
    }

    /** Counts bytes that are held in any case, or fewer if the number is negative. */
    public void add(long bytes) {
        mHeldBytes += bytes;
    }

    /** Returns the bytes that may still be held; negative if the bound is exceeded. */
    public long freeBytes() {
        return mMaxBytes - mHeldBytes;
    }

    /** Returns the bound in bytes. */
    public long maxBytes() {
        return mMaxBytes;
    }

    /** Returns the number of bytes held. */
    public long heldBytes() {
        return mHeldBytes;
    }
}
