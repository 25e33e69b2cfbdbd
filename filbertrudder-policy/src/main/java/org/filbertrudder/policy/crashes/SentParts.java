package org.filbertrudder.policy.crashes;

import java.util.List;

/**
 * Holds the parts of a request's prompt and the losses of each that were known when it was sent.
 *
 * @param parts the ids of the parts
 * @param losses the known losses of each part
 */
public record SentParts(List<String> parts, List<Integer> losses) {

    /** Represents a request whose prompt has no part that other requests may share. */
    public static final SentParts NONE = new SentParts(List.of(), List.of());

    /** Copies the lists. */
    public SentParts {
        parts = List.copyOf(parts);
        losses = List.copyOf(losses);
    }
}
