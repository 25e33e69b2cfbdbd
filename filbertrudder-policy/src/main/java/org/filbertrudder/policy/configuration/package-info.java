/** Decides which configuration revision an instance adopts. */
package org.filbertrudder.policy.configuration;
