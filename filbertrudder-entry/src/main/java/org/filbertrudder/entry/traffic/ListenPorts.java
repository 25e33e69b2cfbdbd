package org.filbertrudder.entry.traffic;

/** Keeps the ports that the traffic threads share once the first of them has chosen. */
public final class ListenPorts {

    private volatile int mCallerPort;
    private volatile int mForwardPort;

    /** Starts from the configured ports; 0 lets the first thread choose. */
    public ListenPorts(int callerPort, int forwardPort) {
        mCallerPort = callerPort;
        mForwardPort = forwardPort;
    }

    /** Returns the TCP port for callers. */
    public int callerPort() {
        return mCallerPort;
    }

    /** Returns the TCP port for forwarded requests. */
    public int forwardPort() {
        return mForwardPort;
    }

    void setCallerPort(int port) {
        mCallerPort = port;
    }

    void setForwardPort(int port) {
        mForwardPort = port;
    }
}
