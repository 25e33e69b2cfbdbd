/** Messages of the peer protocol between instances, and the records that they contain. */
package org.filbertrudder.model.message;
