package org.filbertrudder.policy.membership;

import org.filbertrudder.model.message.PeerMessage;

/**
 * Asks the transport to send a message.
 *
 * @param to the address of the receiver
 * @param message the message
 */
public record PeerSend(PeerAddress to, PeerMessage message) {}
