/** Decides when and on which engine the prompts of a service start in a region. */
package org.filbertrudder.policy.scheduling;
