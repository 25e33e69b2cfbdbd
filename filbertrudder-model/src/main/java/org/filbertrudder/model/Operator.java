package org.filbertrudder.model;

/**
 * Describes an operator who was given a token by another one; the token itself is never kept.
 *
 * @param name the operator's name in the audit log
 * @param role what the operator may do
 * @param tokenSha256 the SHA-256 digest of the token, in hexadecimal
 */
public record Operator(String name, OperatorRole role, String tokenSha256) implements Entity {

    /** Checks the form of the name. */
    public Operator {
        Identifiers.check("operator", name);
    }

    @Override
    public EntityKey entityKey() {
        return EntityKey.of(EntityKind.OPERATOR, name);
    }
}
