/** Decides which endpoint or region runs a request. */
package org.filbertrudder.policy.routing;
