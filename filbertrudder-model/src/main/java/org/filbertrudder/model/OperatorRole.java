package org.filbertrudder.model;

/** Lists the permission levels of operators. */
public enum OperatorRole {
    /** Permits read access to the admin API. */
    READ,
    /** Permits read and write access to the admin API. */
    OPERATE
}
