/** Decides which endpoint or region runs a request, by load, health, cached prompts and delay. */
package org.filbertrudder.policy.routing;
