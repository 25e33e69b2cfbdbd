/** Serves the HTTP API for operators and issues API keys and operator tokens. */
package org.filbertrudder.entry.admin;
