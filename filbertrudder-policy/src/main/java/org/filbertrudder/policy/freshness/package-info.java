/** Decides how long what an instance knows may be acted on. */
package org.filbertrudder.policy.freshness;
