/** Starts fleets of real processes on loopback, for the demonstration and the scenarios. */
package org.filbertrudder.scenarios;
