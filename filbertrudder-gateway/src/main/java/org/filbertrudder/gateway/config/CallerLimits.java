package org.filbertrudder.gateway.config;

/**
 * Limits what callers may send and how long their connections may stay idle.
 *
 * @param maxHeaderBytes the maximum size of a request head, in bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param headerTimeoutMs the time within which a request head must arrive, in milliseconds
 * @param idleTimeoutMs the time after which an idle connection is closed, in milliseconds
 */
public record CallerLimits(
        long maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {}
