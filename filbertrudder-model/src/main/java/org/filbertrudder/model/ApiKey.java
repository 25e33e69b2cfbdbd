package org.filbertrudder.model;

/**
 * Describes an issued key; the secret itself is never kept.
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
