/** Writes structured log lines. */
package org.filbertrudder.entry.log;
