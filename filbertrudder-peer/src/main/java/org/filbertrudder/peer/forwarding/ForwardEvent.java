package org.filbertrudder.peer.forwarding;

import java.util.Map;

/**
 * A decision about forwarded requests, for the log.
 *
 * @param message what was decided
 * @param fields the inputs of the decision by name
 */
public record ForwardEvent(String message, Map<String, Object> fields) {}
