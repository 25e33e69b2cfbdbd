package org.filbertrudder.entry.traffic;

/** Holds the ports that all traffic threads listen on, once the first thread has bound them. */
public final class ListenPorts {

    private volatile int mCallerPort;
    private volatile int mForwardPort;

    /** Creates the ports from the settings; with 0 the first thread binds a free port. */
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
