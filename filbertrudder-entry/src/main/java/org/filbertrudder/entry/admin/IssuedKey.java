package org.filbertrudder.entry.admin;

import java.security.SecureRandom;
import java.util.HexFormat;
import org.filbertrudder.entry.traffic.KeyCheck;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.ApiKey;
import org.filbertrudder.model.Digests;
import org.filbertrudder.model.KeyId;

/**
 * Holds a new key; its text is shown once and not kept.
 *
 * @param key what is kept
 * @param text what the caller shows
 */
record IssuedKey(ApiKey key, String text) {

    private static final SecureRandom RANDOM = new SecureRandom();
    private static final int ID_BYTES = 6;
    private static final int SECRET_BYTES = 24;

    /** Creates a key for an account. */
    static IssuedKey create(AccountId account) {
        KeyId id = KeyId.of("k" + randomHex(ID_BYTES));
        String secret = randomHex(SECRET_BYTES);
        return new IssuedKey(
                new ApiKey(id, account, Digests.sha256(secret)), KeyCheck.format(id, secret));
    }

    private static String randomHex(int bytes) {
        byte[] random = new byte[bytes];
        RANDOM.nextBytes(random);
        return HexFormat.of().formatHex(random);
    }

    @Override
    public String toString() {
        return "IssuedKey[" + key.id() + "]";
    }
}
