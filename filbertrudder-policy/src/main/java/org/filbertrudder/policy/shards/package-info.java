/** Decides which instance of a region grants the tokens of which client accounts. */
package org.filbertrudder.policy.shards;
