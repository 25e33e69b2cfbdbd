package org.filbertrudder.policy.connections;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which responses of endpoints are read on although their callers read slowly, and bounds
 * the bytes that wait for callers.
 *
 * <p>Three quarters of the bound serve responses that fill their write queue; above that, reading
 * such a response pauses. The last quarter serves responses that begin, so that callers who read
 * nothing do not keep others from being answered. What would exceed the bound ends the response
 * whose caller has taken nothing for the longest time.
 */
public final class UnreadResponses {

    /**
     * How long a response may be paused, in milliseconds. Endpoints cut off a response that stays
     * unread for 2 s or more, so after this time a response whose caller has taken nothing for as
     * long is ended in favour of it.
     */
    public static final long MAX_PAUSE_MS = 1_500;

    /** The most bytes that one read of a connection yields. */
    public static final int READ_BYTES = 64 * 1024;

    private final long mMaxBytes;
    private final SharedBound mShared;
    private final Set<Response> mWaiting = new LinkedHashSet<>();
    private final Set<Response> mPaused = new LinkedHashSet<>();
    private long mHeldBytes;
    private long mReservedBytes;

    /** Bounds what all responses hold together with the bodies of requests. */
    public interface SharedBound {

        /** Returns the bytes that may still be held; negative if the bound is exceeded. */
        long freeBytes();

        /** Counts further bytes, or fewer if the number is negative. */
        void add(long bytes);
    }

    /**
     * Creates a bound without any response.
     *
     * @param maxBytes the maximum number of bytes that wait for callers
     * @param shared the bound of the instance; it makes responses pause but does not end them
     */
    public UnreadResponses(long maxBytes, SharedBound shared) {
        mMaxBytes = maxBytes;
        mShared = shared;
    }

    /** Adds a response; the action closes the connection of its caller at once. */
    public Response open(Runnable cutOff) {
        return new Response(cutOff);
    }

    /** Returns the number of bytes that wait for callers. */
    public long heldBytes() {
        return mHeldBytes;
    }

    /** Returns the number of responses that are not read at the moment. */
    public int paused() {
        return mPaused.size();
    }

    /**
     * Ends responses whose callers take nothing if another one has been paused for too long, and
     * resumes what the bound allows.
     */
    public void tick(long nowMs) {
        while (isOverdue(nowMs) && !hasOwnRoom()) {
            Optional<Response> stalest =
                    stalest().filter(each -> nowMs - each.mProgressMs >= MAX_PAUSE_MS);
            if (stalest.isEmpty()) {
                break;
            }
            stalest.get().cutOff();
        }
        resumePaused();
    }

    private boolean hasRoom() {
        return hasOwnRoom() && mShared.freeBytes() - mReservedBytes >= READ_BYTES;
    }

    /** Returns whether responses have room for one more read, whatever the bodies hold. */
    private boolean hasOwnRoom() {
        return mMaxBytes / 4 * 3 - mHeldBytes - mReservedBytes >= READ_BYTES;
    }

    /** Returns whether the response that was paused first has been paused for too long. */
    private boolean isOverdue(long nowMs) {
        return !mPaused.isEmpty()
                && nowMs - mPaused.iterator().next().mPausedSinceMs >= MAX_PAUSE_MS;
    }

    /** Returns the response whose caller has taken nothing for the longest time. */
    private Optional<Response> stalest() {
        return mWaiting.stream().min(Comparator.comparingLong(each -> each.mProgressMs));
    }

    private void resumePaused() {
        while (!mPaused.isEmpty() && hasRoom()) {
            Response oldest = mPaused.iterator().next();
            oldest.reserve();
            oldest.resumeReading();
        }
    }

    private void hold(long bytes) {
        mHeldBytes += bytes;
        mShared.add(bytes);
    }

    /** Tracks what waits for the caller of one response. */
    public final class Response {

        private final Runnable mCutOff;
        private Runnable mOnResume = () -> {};
        private long mWaitingBytes;
        private long mOwnReservedBytes;
        private long mProgressMs;
        private long mPausedSinceMs;
        private boolean mClosed;

        private Response(Runnable cutOff) {
            mCutOff = cutOff;
        }

        /** Records bytes that were added to the write queue of the caller. */
        public void added(long bytes, long nowMs) {
            if (mClosed) {
                return;
            }
            endReservation();
            if (mWaitingBytes == 0) {
                mProgressMs = nowMs;
                mWaiting.add(this);
            }
            mWaitingBytes += bytes;
            hold(bytes);
            while (mHeldBytes > mMaxBytes) {
                stalest().orElseThrow().cutOff();
            }
        }

        /** Records that the caller's connection has taken bytes. */
        public void taken(long bytes, long nowMs) {
            if (mClosed) {
                return;
            }
            mProgressMs = nowMs;
            mWaitingBytes -= bytes;
            hold(-bytes);
            if (mWaitingBytes == 0) {
                mWaiting.remove(this);
            }
            resumePaused();
        }

        /** Returns whether reading pauses now that the write queue is full. */
        public boolean mustPause() {
            return !mClosed && !hasRoom();
        }

        /** Records that reading has paused; the action resumes it. */
        public void paused(Runnable onResume, long nowMs) {
            mOnResume = onResume;
            if (!mClosed && mPaused.add(this)) {
                mPausedSinceMs = nowMs;
            }
        }

        /**
         * Resumes reading if it has paused, as the write queue has drained or reading has ended.
         */
        public void resume() {
            endReservation();
            resumeReading();
        }

        private void resumeReading() {
            if (mPaused.remove(this)) {
                mOnResume.run();
            }
        }

        /** Stops counting the response, whose connection has closed. */
        public void close() {
            if (mClosed) {
                return;
            }
            mClosed = true;
            endReservation();
            mPaused.remove(this);
            mWaiting.remove(this);
            hold(-mWaitingBytes);
            mWaitingBytes = 0;
            resumePaused();
        }

        private void cutOff() {
            close();
            mCutOff.run();
        }

        /** Reserves what one read yields, as the bytes arrive only later. */
        private void reserve() {
            mOwnReservedBytes = READ_BYTES;
            mReservedBytes += READ_BYTES;
        }

        private void endReservation() {
            mReservedBytes -= mOwnReservedBytes;
            mOwnReservedBytes = 0;
        }
    }
}
