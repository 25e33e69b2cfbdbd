/** Simulated services of the users' platform for tests: the metadata store and the replicas. */
package org.filbertrudder.standins.platform;
