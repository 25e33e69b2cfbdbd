package org.filbertrudder.model.message;

/** Steps of an exchange of records between two instances. */
public enum ExchangeStep {
    /** Asks for a reply, with records if the digests differ. */
    PROBE,
    /** Replies to a probe; is answered with records if the digests still differ. */
    REPLY,
    /** Ends the exchange. */
    END
}
