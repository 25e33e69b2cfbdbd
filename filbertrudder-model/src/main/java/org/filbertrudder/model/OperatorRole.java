package org.filbertrudder.model;

/** Lists the permission levels of operators. */
public enum OperatorRole {
    /** Permits read access to the administration API. */
    READ,
    /** Permits read and write access to the administration API. */
    OPERATE
}
