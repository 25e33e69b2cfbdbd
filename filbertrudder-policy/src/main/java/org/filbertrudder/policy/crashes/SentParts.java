package org.filbertrudder.policy.crashes;

import java.util.List;

/**
 * Holds the parts of a request's prompt and what was known of them when it was sent.
 *
 * @param parts the ids of the parts
 * @param knownLosses the losses of each part that an answer to the request clears
 * @param lossesIfLost the losses of each part if the request is lost
 */
public record SentParts(List<String> parts, List<Integer> knownLosses, List<Integer> lossesIfLost) {

    /** Represents a request whose prompt has no part that other requests may share. */
    public static final SentParts NONE = new SentParts(List.of(), List.of(), List.of());

    /** Copies the lists. */
    public SentParts {
        parts = List.copyOf(parts);
        knownLosses = List.copyOf(knownLosses);
        lossesIfLost = List.copyOf(lossesIfLost);
    }
}
