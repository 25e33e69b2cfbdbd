package org.filbertrudder.policy.orders;

import org.filbertrudder.model.EngineSetup;

/**
 * Shows what a model engine reports about orders.
 *
 * @param loaded what it has loaded
 * @param switching whether it is carrying out an order and runs no requests
 * @param receivedMs when the report arrived, in milliseconds by the giver's clock
 */
public record EngineReport(EngineSetup loaded, boolean switching, long receivedMs) {}
