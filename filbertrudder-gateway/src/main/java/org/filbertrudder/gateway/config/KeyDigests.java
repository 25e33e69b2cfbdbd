package org.filbertrudder.gateway.config;

import org.filbertrudder.model.Digests;
import org.filbertrudder.model.KeyId;

/** Names keys between instances without telling them. */
public final class KeyDigests {

    private static final int LENGTH = 32;

    private KeyDigests() {}

    /** Returns the name of a key. */
    public static KeyId of(String key) {
        return KeyId.of(Digests.sha256(key).substring(0, LENGTH));
    }
}
