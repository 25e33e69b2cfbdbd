/** Decides which orders are sent to model engines, and when an instance may send them. */
package org.filbertrudder.policy.orders;
