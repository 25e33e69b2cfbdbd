/**
 * Simulated platform services and endpoints with fault injection, and a load generator; for tests
 * only.
 */
package org.filbertrudder.standins;
