package org.filbertrudder.policy.orders;

import org.filbertrudder.model.EngineSetup;

/**
 * Setup and availability that a model engine reports to the sender of orders.
 *
 * @param loaded the setup that the engine has loaded
 * @param switching whether the engine is carrying out an order and runs no requests
 * @param receivedMs when the report arrived, in milliseconds by the clock of the sender of orders
 */
public record EngineReport(EngineSetup loaded, boolean switching, long receivedMs) {}
