package org.filbertrudder.entry.control;

import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.InstanceId;

/**
 * Represents tokens that a holder has granted to a request.
 *
 * @param account the client account
 * @param holder the instance that granted the tokens
 * @param reservation the reservation's id at the holder
 * @param tokens the number of tokens
 */
public record TokenGrant(AccountId account, InstanceId holder, long reservation, long tokens) {}
