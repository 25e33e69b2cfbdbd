package org.filbertrudder.entry.control;

import java.util.function.Supplier;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.policy.membership.PeerAddress;

/** Replaces connections to members that have fallen silent. */
public final class SilentConnections {

    private static final ComponentLogger LOG = ComponentLogger.of("control");

    private final PeerNetwork mNetwork;
    private final long mTickMs;
    private long mLastTickMs;

    /** Creates an object that is called at an interval in milliseconds, from now on. */
    public SilentConnections(PeerNetwork network, long tickMs, long nowMs) {
        mNetwork = network;
        mTickMs = tickMs;
        mLastTickMs = nowMs;
    }

    /** Asks members again on a new connection, before they are suspected for a silent one. */
    public void replace(Supplier<PeerMessage> heartbeat, long nowMs) {
        for (PeerAddress address : mNetwork.closeSilent(nowMs, nowMs - mLastTickMs, mTickMs)) {
            LOG.info("A silent connection is replaced.", LogField.of("address", address));
            mNetwork.send(address, heartbeat.get());
        }
        mLastTickMs = nowMs;
    }
}
