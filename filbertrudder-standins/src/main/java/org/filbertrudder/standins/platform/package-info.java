/** Stands in for the users' platform: its store, its operator and its replicas. */
package org.filbertrudder.standins.platform;
