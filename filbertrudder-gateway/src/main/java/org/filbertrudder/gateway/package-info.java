/** Runs a gateway instance, which routes requests by host and path to services in all regions. */
package org.filbertrudder.gateway;
