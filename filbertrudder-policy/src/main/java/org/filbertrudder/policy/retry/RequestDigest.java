package org.filbertrudder.policy.retry;

import org.filbertrudder.model.AccountId;

/**
 * Identifies a request by its content, so that a repetition by its caller is recognised.
 *
 * @param account the client account
 * @param bodySha256 the SHA-256 digest of the request's body
 */
public record RequestDigest(AccountId account, String bodySha256) {}
