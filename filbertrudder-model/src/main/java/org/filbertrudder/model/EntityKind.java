package org.filbertrudder.model;

/** Lists the kinds of entities in a configuration; entity keys sort in this order. */
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
