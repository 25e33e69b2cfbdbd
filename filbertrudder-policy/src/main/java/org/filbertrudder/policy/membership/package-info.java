/** Tracks which entry instances are alive and spreads the news. */
package org.filbertrudder.policy.membership;
