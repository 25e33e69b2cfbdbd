package org.filbertrudder.standins;

/**
 * Holds how an engine behaves.
 *
 * @param slots the number of requests that run at once
 * @param tokensPerSecond the tokens that each of them gets a second
 * @param reportLagMs how old load reports are, in milliseconds
 * @param prefillMs what the first token waits for a prompt that is not cached, in milliseconds
 * @param cachedPrompts the number of prompt prefixes that the cache holds
 * @param eventLagMs how late cache events come, in milliseconds
 * @param eventGap loses every n-th cache event; 0 loses none
 * @param loadMs how long an order takes once the weights are there, in milliseconds
 * @param version the model version loaded at the start
 * @param fencing whether an order with an old fencing number is refused
 * @param weightsPort the port of the weight store on loopback; 0 for none
 */
record EngineOptions(
        int slots,
        double tokensPerSecond,
        long reportLagMs,
        long prefillMs,
        int cachedPrompts,
        long eventLagMs,
        int eventGap,
        long loadMs,
        String version,
        boolean fencing,
        int weightsPort) {}
