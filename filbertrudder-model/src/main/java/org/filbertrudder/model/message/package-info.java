/** Messages that entry instances exchange over the peer protocol. */
package org.filbertrudder.model.message;
