package org.filbertrudder.gateway.config;

/**
 * Limits what callers may send and how long their connections may stay idle.
 *
 * @param maxHeaderBytes the longest request head, in bytes
 * @param maxBodyBytes the longest request body, in bytes
 * @param headerTimeoutMs how long a request head may take to arrive, in milliseconds
 * @param idleTimeoutMs how long a connection may stay idle, in milliseconds
 */
public record CallerLimits(
        long maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {}
