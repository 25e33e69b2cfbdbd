/** Decides how many tokens a client account may consume at this instance. */
package org.filbertrudder.policy.tokens;
