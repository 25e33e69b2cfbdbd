package org.filbertrudder.policy.routing;

/**
 * Identifies a part of a prompt, which other requests may share.
 *
 * @param id identifies the prefix that consists of this part and all parts before it
 * @param tokens the length of this part in tokens
 */
public record PromptPart(String id, long tokens) {}
