/** Assembles and runs an entry instance. */
package org.filbertrudder.entry;
