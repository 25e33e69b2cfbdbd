/** Forwards requests between instances, in sessions that outlive their connections. */
package org.filbertrudder.peer.forwarding;
