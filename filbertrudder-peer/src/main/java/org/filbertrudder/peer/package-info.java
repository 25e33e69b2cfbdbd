/** Transport of the peer protocol: MessagePack frames over TCP, optionally with mutual TLS. */
package org.filbertrudder.peer;
