/** Holds the operators' configuration of the gateway as immutable values. */
package org.filbertrudder.gateway.config;
