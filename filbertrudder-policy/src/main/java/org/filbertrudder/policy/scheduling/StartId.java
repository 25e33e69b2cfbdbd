package org.filbertrudder.policy.scheduling;

import org.filbertrudder.model.InstanceId;

/**
 * Identifies a request for a start.
 *
 * @param sender the instance that asks for the start
 * @param number the number of the request, unique for the sender's process
 */
public record StartId(InstanceId sender, long number) {}
