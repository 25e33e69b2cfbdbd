package org.filbertrudder.entry.admin;

import org.filbertrudder.model.Digests;
import org.filbertrudder.model.Operator;
import org.filbertrudder.model.OperatorRole;

/**
 * Holds a new operator's token; its text is shown once and not kept.
 *
 * @param operator what is kept
 * @param text what the operator shows
 */
record IssuedToken(Operator operator, String text) {

    private static final int TOKEN_BYTES = 32;

    /** Creates a token for an operator. */
    static IssuedToken create(String name, OperatorRole role) {
        String token = RandomHex.of(TOKEN_BYTES);
        return new IssuedToken(new Operator(name, role, Digests.sha256(token)), token);
    }

    @Override
    public String toString() {
        return "IssuedToken[" + operator.name() + "]";
    }
}
