/** Small stand-ins for the platform and for endpoints, and a load tool; for tests only. */
package org.filbertrudder.standins;
