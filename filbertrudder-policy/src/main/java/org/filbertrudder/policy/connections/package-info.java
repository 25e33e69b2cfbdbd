/**
 * Decides which connections of callers may go on reading and which are ended, and which responses
 * are read on for slow callers.
 */
package org.filbertrudder.policy.connections;
