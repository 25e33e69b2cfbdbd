/** Detects failed instances and distributes the member table. */
package org.filbertrudder.policy.membership;
