package org.filbertrudder.model;

/**
 * Holds an operator whose token was issued by another operator; stores only the token's digest.
 *
 * @param name the operator's name in the audit log
 * @param role the permissions of the operator
 * @param tokenSha256 the SHA-256 digest of the token, in hexadecimal
 */
public record Operator(String name, OperatorRole role, String tokenSha256) implements Entity {

    /** Rejects a malformed name with an {@link InvalidValueException}. */
    public Operator {
        Identifiers.requireValid("operator", name);
    }

    @Override
    public EntityKey entityKey() {
        return EntityKey.of(EntityKind.OPERATOR, name);
    }
}
