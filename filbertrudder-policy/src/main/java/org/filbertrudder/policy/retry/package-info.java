/** Decides whether and where a request may be retried. */
package org.filbertrudder.policy.retry;
