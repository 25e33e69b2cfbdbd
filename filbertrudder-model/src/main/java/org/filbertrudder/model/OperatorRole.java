package org.filbertrudder.model;

/** Lists what operators may do. */
public enum OperatorRole {
    /** May look at everything. */
    READ,
    /** May change everything. */
    OPERATE
}
