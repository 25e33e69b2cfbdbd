package org.filbertrudder.model.message;

/** Lists the outcomes of a token reservation request. */
public enum ReserveOutcome {
    /** The tokens are reserved. */
    GRANTED,
    /** The share has too few tokens now; the request can succeed later. */
    WAIT,
    /** The request is larger than the account's burst and can never be granted. */
    TOO_LARGE,
    /** The receiver does not hold the account's share. */
    NOT_HOLDER,
    /** The configuration of the receiver does not contain the account. */
    UNKNOWN_ACCOUNT
}
