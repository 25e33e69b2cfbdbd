package org.filbertrudder.policy.membership;

import org.filbertrudder.model.InvalidValueException;
import org.filbertrudder.model.message.Member;

/**
 * Address on which an instance accepts connections of other instances.
 *
 * @param host the IP address
 * @param port the TCP port
 */
public record PeerAddress(String host, int port) {

    /** Returns the peer address of a member. */
    public static PeerAddress of(Member member) {
        return new PeerAddress(member.host(), member.peerPort());
    }

    /** Returns the address of a member for requests that other instances forward. */
    public static PeerAddress ofForwards(Member member) {
        return new PeerAddress(member.host(), member.forwardPort());
    }

    /**
     * Parses an address of the form host:port.
     *
     * @throws InvalidValueException if the text does not have that form
     */
    public static PeerAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port > 0 && port < 65_536) {
                return new PeerAddress(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // Reported below with the expected form.
        }
        throw new InvalidValueException(
                "'" + text + "' is not an address. Expected an IP address, ':' and a port.");
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
