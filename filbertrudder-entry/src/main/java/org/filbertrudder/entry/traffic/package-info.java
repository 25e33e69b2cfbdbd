/** Serves callers over HTTP and proxies their requests to endpoints and other regions. */
package org.filbertrudder.entry.traffic;
