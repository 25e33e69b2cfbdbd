/** Clients of the platform: key-value store, live list and caller directory. */
package org.filbertrudder.store;
