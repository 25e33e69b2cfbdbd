/** Serves the administration API. */
package org.filbertrudder.entry.admin;
