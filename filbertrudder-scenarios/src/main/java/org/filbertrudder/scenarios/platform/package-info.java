/** Runs gateway instances with stand-ins for the services of the users' platform. */
package org.filbertrudder.scenarios.platform;
