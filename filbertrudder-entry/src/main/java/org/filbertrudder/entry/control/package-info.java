/**
 * Keeps the control state of an instance (members, configuration, token shares and orders to
 * engines) on one thread.
 */
package org.filbertrudder.entry.control;
