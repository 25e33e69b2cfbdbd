/** Serves routes by host and path in front of services of any kind, in all regions. */
package org.filbertrudder.gateway;
