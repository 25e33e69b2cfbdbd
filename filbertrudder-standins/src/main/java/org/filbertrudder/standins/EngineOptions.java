package org.filbertrudder.standins;

/**
 * Configures the behaviour of a simulated engine.
 *
 * @param slots the maximum number of concurrent requests
 * @param tokensPerSecond the tokens generated per second for each request
 * @param reportLagMs the age of reported loads, in milliseconds
 * @param prefillMs the delay of the first token if the prompt prefix is not cached, in milliseconds
 * @param cachedPrompts the capacity of the prefix cache, in prompt prefixes
 * @param eventLagMs the delay before a cache event becomes visible, in milliseconds
 * @param eventGap the interval of lost cache events: every n-th event is lost; 0 loses none
 * @param loadMs the time to load a model after its weights were fetched, in milliseconds
 * @param version the initially loaded model version
 * @param fencing whether load orders with an outdated fencing token are rejected
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
