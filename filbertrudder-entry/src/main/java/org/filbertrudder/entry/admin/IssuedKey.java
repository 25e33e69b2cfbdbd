package org.filbertrudder.entry.admin;

import org.filbertrudder.entry.traffic.ApiKeyAuthenticator;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.ApiKey;
import org.filbertrudder.model.Digests;
import org.filbertrudder.model.KeyId;

/**
 * Holds a newly created API key; its plain text is returned once and not stored.
 *
 * @param key the API key to store, with the digest of its secret
 * @param plainText the plain text that callers send
 */
record IssuedKey(ApiKey key, String plainText) {

    private static final int ID_BYTES = 6;
    private static final int SECRET_BYTES = 24;

    /** Creates a random key for a client account. */
    static IssuedKey create(AccountId account) {
        KeyId id = KeyId.of("k" + RandomHex.of(ID_BYTES));
        String secret = RandomHex.of(SECRET_BYTES);
        return new IssuedKey(
                new ApiKey(id, account, Digests.sha256(secret)),
                ApiKeyAuthenticator.format(id, secret));
    }

    @Override
    public String toString() {
        return "IssuedKey[" + key.id() + "]";
    }
}
