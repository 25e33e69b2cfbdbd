package org.filbertrudder.policy.retry;

import org.filbertrudder.model.AccountId;

/**
 * Recognises a request that its caller sends again.
 *
 * @param account the client account
 * @param bodySha256 the digest of the request's body
 */
public record RequestDigest(AccountId account, String bodySha256) {}
