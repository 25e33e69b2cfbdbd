package org.filbertrudder.peer.forwarding;

import java.util.function.Consumer;
import org.filbertrudder.policy.membership.PeerAddress;

/** Opens links to other instances. */
@FunctionalInterface
public interface ForwardLinks {

    /**
     * Runs the action with an open link to the address, or with null if it cannot be opened. A link
     * that has been closed is not passed again.
     */
    void open(PeerAddress address, Consumer<? super ForwardLink> action);
}
