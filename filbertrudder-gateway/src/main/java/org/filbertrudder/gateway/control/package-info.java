/** Follows the operators' state and the other instances on one thread. */
package org.filbertrudder.gateway.control;
