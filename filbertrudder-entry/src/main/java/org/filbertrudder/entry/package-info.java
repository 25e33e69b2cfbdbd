/** Starts, runs and stops an entry instance, and holds its settings and credentials. */
package org.filbertrudder.entry;
