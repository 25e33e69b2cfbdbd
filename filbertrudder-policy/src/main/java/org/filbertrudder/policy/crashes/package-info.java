/** Finds the parts of prompts that crash endpoints, together with the other instances. */
package org.filbertrudder.policy.crashes;
