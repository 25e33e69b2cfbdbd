package org.filbertrudder.policy.membership;

import org.filbertrudder.model.message.PeerMessage;

/**
 * Message to be sent to another instance by the transport.
 *
 * @param to the address of the receiver
 * @param message the message
 */
public record OutboundMessage(PeerAddress to, PeerMessage message) {}
