package org.filbertrudder.model;

/**
 * Holds an issued API key; stores only the digest of its secret.
 *
 * @param id the public part of the key
 * @param account the client account that the key belongs to
 * @param secretSha256 the SHA-256 digest of the secret part, in hexadecimal
 */
public record ApiKey(KeyId id, AccountId account, String secretSha256) implements Entity {

    @Override
    public EntityKey entityKey() {
        return EntityKey.of(EntityKind.KEY, id.value());
    }
}
