package org.filbertrudder.policy.tokens;

import org.filbertrudder.model.InstanceId;

/**
 * Identifies a request for tokens, so that a reply can be matched to it.
 *
 * @param instance the instance that sent the request
 * @param requestId the id that the instance gave the request
 */
public record TokenRequestKey(InstanceId instance, long requestId) {}
