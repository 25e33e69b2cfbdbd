package org.filbertrudder.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counts the messages, bytes and protocol errors on all peer connections. */
public final class PeerCounters {

    private final LongAdder mMessagesSent = new LongAdder();
    private final LongAdder mBytesSent = new LongAdder();
    private final LongAdder mMessagesReceived = new LongAdder();
    private final LongAdder mBytesReceived = new LongAdder();
    private final LongAdder mRejectedConnections = new LongAdder();

    void countSent(int bytes) {
        mMessagesSent.increment();
        mBytesSent.add(bytes);
    }

    void countReceived(int bytes) {
        mMessagesReceived.increment();
        mBytesReceived.add(bytes);
    }

    void countRejectedConnection() {
        mRejectedConnections.increment();
    }

    /** Returns the number of messages sent. */
    public long messagesSent() {
        return mMessagesSent.sum();
    }

    /** Returns the number of bytes sent, including frame headers. */
    public long bytesSent() {
        return mBytesSent.sum();
    }

    /** Returns the number of messages received. */
    public long messagesReceived() {
        return mMessagesReceived.sum();
    }

    /** Returns the number of bytes received, including frame headers. */
    public long bytesReceived() {
        return mBytesReceived.sum();
    }

    /**
     * Returns the number of connections closed because of a protocol error, a failed message
     * handler or a failed TLS handshake.
     */
    public long rejectedConnections() {
        return mRejectedConnections.sum();
    }
}
