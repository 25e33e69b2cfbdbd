/** Tracks the operators' state, the endpoints and the other instances on one control thread. */
package org.filbertrudder.gateway.control;
