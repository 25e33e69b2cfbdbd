/** Decides in which order waiting requests run. */
package org.filbertrudder.policy.queueing;
