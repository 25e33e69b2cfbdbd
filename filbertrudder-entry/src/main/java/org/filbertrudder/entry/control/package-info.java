/** Runs the control state of an instance on one thread. */
package org.filbertrudder.entry.control;
