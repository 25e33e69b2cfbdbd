/** Carries callers' requests to endpoints and other regions on one thread. */
package org.filbertrudder.gateway.traffic;
