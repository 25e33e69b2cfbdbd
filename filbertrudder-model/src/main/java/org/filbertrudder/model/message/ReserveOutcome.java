package org.filbertrudder.model.message;

/** Lists the answers to a request for tokens. */
public enum ReserveOutcome {
    /** The tokens are granted. */
    GRANTED,
    /** The share has too few tokens now; they will be there later. */
    WAIT,
    /** The request is larger than the account's burst and can never be granted. */
    TOO_LARGE,
    /** The receiver does not hold the account's share. */
    NOT_HOLDER,
    /** The account is not in the configuration of the receiver. */
    UNKNOWN_ACCOUNT
}
