package org.filbertrudder.gateway.config;

import org.filbertrudder.model.Digests;
import org.filbertrudder.model.KeyId;

/** Computes digests that identify API keys between instances without revealing them. */
public final class KeyDigests {

    private static final int HEX_DIGITS = 32;

    private KeyDigests() {}

    /** Returns the digest of an API key. */
    public static KeyId of(String key) {
        return KeyId.of(Digests.sha256(key).substring(0, HEX_DIGITS));
    }
}
