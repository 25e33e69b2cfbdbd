package org.filbertrudder.policy.routing;

/**
 * Names a part of a prompt that other requests may share.
 *
 * @param id identifies the part together with all parts before it
 * @param tokens its length in tokens
 */
public record PromptPart(String id, long tokens) {}
