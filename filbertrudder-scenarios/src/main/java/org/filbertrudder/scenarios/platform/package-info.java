/** Runs gateway instances over a stand-in of the users' platform. */
package org.filbertrudder.scenarios.platform;
