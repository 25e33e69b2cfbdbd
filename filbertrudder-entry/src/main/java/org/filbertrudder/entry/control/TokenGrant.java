package org.filbertrudder.entry.control;

import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.InstanceId;

/**
 * Proves that tokens have been reserved.
 *
 * @param account the client account
 * @param holder the instance that granted the tokens
 * @param reservation the reservation at the holder
 * @param tokens the number of tokens
 */
public record TokenGrant(AccountId account, InstanceId holder, long reservation, long tokens) {}
