/** Writes log lines with named fields, as text or JSON. */
package org.filbertrudder.entry.log;
