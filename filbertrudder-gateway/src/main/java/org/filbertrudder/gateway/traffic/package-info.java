/** Routes callers' requests to endpoints and to other regions on one event loop. */
package org.filbertrudder.gateway.traffic;
