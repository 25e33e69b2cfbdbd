package org.filbertrudder.entry.admin;

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

    private static final int ID_BYTES = 6;
    private static final int SECRET_BYTES = 24;

    /** Creates a key for an account. */
    static IssuedKey create(AccountId account) {
        KeyId id = KeyId.of("k" + RandomHex.of(ID_BYTES));
        String secret = RandomHex.of(SECRET_BYTES);
        return new IssuedKey(
                new ApiKey(id, account, Digests.sha256(secret)), KeyCheck.format(id, secret));
    }

    @Override
    public String toString() {
        return "IssuedKey[" + key.id() + "]";
    }
}
