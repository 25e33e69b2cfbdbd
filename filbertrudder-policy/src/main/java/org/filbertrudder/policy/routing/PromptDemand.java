package org.filbertrudder.policy.routing;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Describes the prompt and the expected token use of a request to a model engine.
 *
 * @param parts the parts of the prompt, in order; the last is not shared with other requests
 * @param promptTokens the number of tokens of the whole prompt
 * @param outputTokens the expected number of tokens of the response
 */
public record PromptDemand(List<PromptPart> parts, long promptTokens, long outputTokens) {

    private static final long OUTPUT_TOKEN_WEIGHT = 10;

    /** Copies the parts. */
    public PromptDemand {
        parts = List.copyOf(parts);
    }

    /** Returns the engine memory that the request occupies when it ends, in tokens. */
    public long memoryTokens() {
        return promptTokens + outputTokens;
    }

    /** Returns the parts that other requests may share. */
    public List<PromptPart> sharedParts() {
        return parts.isEmpty() ? List.of() : parts.subList(0, parts.size() - 1);
    }

    /** Returns the number of tokens of the parts that other requests may share. */
    public long sharedTokens() {
        long tokens = 0;
        for (int i = 0; i < parts.size() - 1; i++) {
            tokens += parts.get(i).tokens();
        }
        return tokens;
    }

    /** Returns the ids of the parts that other requests may share. */
    public List<String> sharedPartIds() {
        return sharedParts().stream().map(PromptPart::id).toList();
    }

    /** Returns the id of the longest shared prefix; empty if the prompt shares nothing. */
    public String affinityKey() {
        List<PromptPart> sharedParts = sharedParts();
        return sharedParts.isEmpty() ? "" : sharedParts.get(sharedParts.size() - 1).id();
    }

    /** Returns the size of the request; generating a token counts like reading ten. */
    public long size() {
        return promptTokens + OUTPUT_TOKEN_WEIGHT * outputTokens;
    }

    /** Returns the ids of all parts in order, separated by slashes, for the log. */
    public String partIds() {
        return parts.stream().map(PromptPart::id).collect(Collectors.joining("/"));
    }

    /** Returns the affinity key and the prompt and output tokens, for the log. */
    public String summary() {
        return affinityKey() + ":" + promptTokens + "+" + outputTokens;
    }
}
