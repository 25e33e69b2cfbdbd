/** Contains decision logic without I/O, threads or clocks; callers pass in the time. */
package org.filbertrudder.policy;
