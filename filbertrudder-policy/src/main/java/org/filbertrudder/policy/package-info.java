/** Decisions without input, output, threads or clocks; callers pass the time in. */
package org.filbertrudder.policy;
