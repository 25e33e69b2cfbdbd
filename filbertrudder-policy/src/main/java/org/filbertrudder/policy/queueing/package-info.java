/** Orders waiting requests and estimates their wait. */
package org.filbertrudder.policy.queueing;
