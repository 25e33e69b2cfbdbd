package org.filbertrudder.policy.membership;

import org.filbertrudder.model.InvalidValueException;
import org.filbertrudder.model.message.Member;

/**
 * Names the address where an instance listens for other instances.
 *
 * @param host the IP number
 * @param port the TCP port
 */
public record PeerAddress(String host, int port) {

    /** Returns the peer address of a member. */
    public static PeerAddress of(Member member) {
        return new PeerAddress(member.host(), member.peerPort());
    }

    /**
     * Reads an address written as host:port.
     *
     * @throws InvalidValueException if the text is not of that form
     */
    public static PeerAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port > 0 && port < 65_536) {
                return new PeerAddress(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // Reported below with the remedy.
        }
        throw new InvalidValueException(
                "'" + text + "' is not an address. Write an IP number, ':' and a port.");
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
