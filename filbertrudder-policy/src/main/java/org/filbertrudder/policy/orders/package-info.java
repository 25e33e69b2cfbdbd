/** Decides which orders model engines get, and when the giver of orders may send them. */
package org.filbertrudder.policy.orders;
