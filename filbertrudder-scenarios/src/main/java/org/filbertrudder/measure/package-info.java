/** Runs seeded simulations and capacity measurements, and prints their results as tables. */
package org.filbertrudder.measure;
