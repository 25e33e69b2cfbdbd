package org.filbertrudder.entry.admin;

import org.filbertrudder.model.Digests;
import org.filbertrudder.model.Operator;
import org.filbertrudder.model.OperatorRole;

/**
 * Holds a newly created operator token; its plain text is returned once and not stored.
 *
 * @param operator the operator to store, with the digest of the token
 * @param plainText the plain text that the operator sends
 */
record IssuedToken(Operator operator, String plainText) {

    private static final int TOKEN_BYTES = 32;

    /** Creates a random token for an operator. */
    static IssuedToken create(String name, OperatorRole role) {
        String token = RandomHex.of(TOKEN_BYTES);
        return new IssuedToken(new Operator(name, role, Digests.sha256(token)), token);
    }

    @Override
    public String toString() {
        return "IssuedToken[" + operator.name() + "]";
    }
}
