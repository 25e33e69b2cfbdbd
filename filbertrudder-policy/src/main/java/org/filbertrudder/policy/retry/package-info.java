/** Decides whether a request may run again. */
package org.filbertrudder.policy.retry;
