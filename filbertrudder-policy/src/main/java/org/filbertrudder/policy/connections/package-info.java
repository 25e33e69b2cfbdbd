/** Decides which connections of callers may go on reading and which are ended. */
package org.filbertrudder.policy.connections;
