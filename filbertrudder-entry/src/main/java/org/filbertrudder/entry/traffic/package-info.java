/** Carries the requests of callers to endpoints. */
package org.filbertrudder.entry.traffic;
