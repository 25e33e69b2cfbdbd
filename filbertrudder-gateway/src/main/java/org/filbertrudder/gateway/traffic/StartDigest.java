package org.filbertrudder.gateway.traffic;

import io.vertx.core.buffer.Buffer;
import org.filbertrudder.policy.RendezvousHashing;

/**
 * Computes the digest by which the scheduler recognizes a request that returns after a refusal.
 *
 * <p>A collision only gives a request the place of another one, so a fast hash is enough.
 */
final class StartDigest {

    private StartDigest() {}

    /** Returns the digest of account, URI and body. */
    static long of(GatewayExchange exchange) {
        long hash =
                RendezvousHashing.weight(
                        RendezvousHashing.hash(exchange.queueAccount().value()),
                        RendezvousHashing.hash(exchange.uri()));
        Buffer body = exchange.body();
        int length = body.length();
        int index = 0;
        for (; index + Long.BYTES <= length; index += Long.BYTES) {
            hash = mix(hash, body.getLong(index));
        }
        for (; index < length; index++) {
            hash = mix(hash, body.getByte(index));
        }
        return mix(hash, length);
    }

    private static long mix(long hash, long value) {
        long mixed = (hash ^ value) * 0xff51afd7ed558ccdL;
        return mixed ^ mixed >>> 32;
    }
}
