package org.filbertrudder.policy.tokens;

import org.filbertrudder.model.InstanceId;

/**
 * Names the request for tokens that a reply answers.
 *
 * @param instance the instance that asked
 * @param requestId the id that the instance chose
 */
public record Asker(InstanceId instance, long requestId) {}
