/** Clients for the platform's key-value store, live list and caller directory. */
package org.filbertrudder.store;
