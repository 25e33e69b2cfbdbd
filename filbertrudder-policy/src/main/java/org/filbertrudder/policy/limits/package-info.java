/** Request limits that endpoints state, kept by all instances together. */
package org.filbertrudder.policy.limits;
