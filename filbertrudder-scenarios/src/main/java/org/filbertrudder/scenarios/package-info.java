/** Starts fleets of separate processes on loopback for the demo, the scenarios and measurements. */
package org.filbertrudder.scenarios;
