package org.filbertrudder.gateway.traffic;

/** Bounds the bytes of all request bodies that an instance holds at the same time. */
final class HeldBodies {

    /**
     * The share of the heap that bodies may fill; each may be copied for its connection and for an
     * attempt in another region.
     */
    private static final int HEAP_PARTS = 6;

    private final long mMaxBytes;
    private long mHeldBytes;

    /** Creates a bound in bytes. */
    HeldBodies(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Creates a bound that leaves most of the heap of this process to other data. */
    static HeldBodies forHeap() {
        return new HeldBodies(Runtime.getRuntime().maxMemory() / HEAP_PARTS);
    }

    /** Returns a hold for the body of a request, which has no bytes yet. */
    Hold newHold() {
        return new Hold();
    }

    /** The bytes that are held for one request. */
    final class Hold {

        private long mBytes;

        /** Holds further bytes; returns false, and holds none of them, if they exceed the bound. */
        boolean tryAdd(long bytes) {
            if (bytes > mMaxBytes - mHeldBytes) {
                return false;
            }
            mHeldBytes += bytes;
            mBytes += bytes;
            return true;
        }

        /** Releases all bytes. */
        void release() {
            mHeldBytes -= mBytes;
            mBytes = 0;
        }
    }

    /** Returns the number of bytes held. */
    long heldBytes() {
        return mHeldBytes;
    }
}
