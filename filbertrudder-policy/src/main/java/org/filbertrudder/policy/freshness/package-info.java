/** Decides how long an instance may rely on its copy of the operators' state. */
package org.filbertrudder.policy.freshness;
