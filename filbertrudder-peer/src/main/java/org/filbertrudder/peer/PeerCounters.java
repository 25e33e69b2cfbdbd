package org.filbertrudder.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counts the traffic between instances. */
public final class PeerCounters {

    private final LongAdder mMessagesSent = new LongAdder();
    private final LongAdder mBytesSent = new LongAdder();
    private final LongAdder mMessagesReceived = new LongAdder();
    private final LongAdder mBytesReceived = new LongAdder();
    private final LongAdder mRejected = new LongAdder();

    void sent(int bytes) {
        mMessagesSent.increment();
        mBytesSent.add(bytes);
    }

    void received(int bytes) {
        mMessagesReceived.increment();
        mBytesReceived.add(bytes);
    }

    void countRejected() {
        mRejected.increment();
    }

    /** Returns the number of messages sent. */
    public long messagesSent() {
        return mMessagesSent.sum();
    }

    /** Returns the number of bytes sent. */
    public long bytesSent() {
        return mBytesSent.sum();
    }

    /** Returns the number of messages received. */
    public long messagesReceived() {
        return mMessagesReceived.sum();
    }

    /** Returns the number of bytes received. */
    public long bytesReceived() {
        return mBytesReceived.sum();
    }

    /** Returns the number of connections closed because of a malformed frame. */
    public long rejected() {
        return mRejected.sum();
    }
}
