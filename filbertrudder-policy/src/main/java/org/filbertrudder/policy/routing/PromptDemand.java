package org.filbertrudder.policy.routing;

import java.util.List;

/**
 * Describes what a request to a model engine needs.
 *
 * @param parts the parts of the prompt, in order; the last belongs to the request alone
 * @param promptTokens the tokens of the whole prompt
 * @param outputTokens the expected tokens of the answer
 */
public record PromptDemand(List<PromptPart> parts, long promptTokens, long outputTokens) {

    /** Copies the parts. */
    public PromptDemand {
        parts = List.copyOf(parts);
    }

    /** Returns the engine memory that the request occupies at its end, in tokens. */
    public long memoryTokens() {
        return promptTokens + outputTokens;
    }

    /** Returns the parts that other requests may share. */
    List<PromptPart> sharedParts() {
        return parts.isEmpty() ? List.of() : parts.subList(0, parts.size() - 1);
    }

    /** Returns what decides which engine suits the request; empty if it shares nothing. */
    String affinityKey() {
        List<PromptPart> shared = sharedParts();
        return shared.isEmpty() ? "" : shared.get(shared.size() - 1).id();
    }

    /** Returns the prompt in a few words for the log: its shared part and sizes in tokens. */
    public String summary() {
        return affinityKey() + ":" + promptTokens + "+" + outputTokens;
    }
}
