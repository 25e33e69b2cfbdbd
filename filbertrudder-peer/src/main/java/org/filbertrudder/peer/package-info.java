/** Carries messages between entry instances over TCP with MessagePack frames. */
package org.filbertrudder.peer;
