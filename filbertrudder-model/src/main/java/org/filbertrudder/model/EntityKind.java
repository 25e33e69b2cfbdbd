package org.filbertrudder.model;

/** Lists the kinds of entity that a configuration holds. */
public enum EntityKind {
    REGION,
    LINK,
    SERVICE,
    ENDPOINT,
    ACCOUNT,
    KEY,
    OPERATOR,
    RULES
}
