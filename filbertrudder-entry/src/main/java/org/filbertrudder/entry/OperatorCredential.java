package org.filbertrudder.entry;

import org.filbertrudder.model.Digests;
import org.filbertrudder.model.Operator;
import org.filbertrudder.model.OperatorRole;

/**
 * Recognises an operator by a secret token, of which only the digest is kept.
 *
 * @param name the operator's name in the audit log
 * @param role what the operator may do
 * @param tokenSha256 the SHA-256 digest of the token, in hexadecimal
 */
public record OperatorCredential(String name, OperatorRole role, String tokenSha256) {

    /** Returns the credential for a token in plain text. */
    public static OperatorCredential of(String name, OperatorRole role, String token) {
        return new OperatorCredential(name, role, Digests.sha256(token));
    }

    /** Returns the credential of an operator in the configuration. */
    public static OperatorCredential from(Operator operator) {
        return new OperatorCredential(operator.name(), operator.role(), operator.tokenSha256());
    }

    /** Returns whether the token is this operator's. */
    public boolean accepts(String token) {
        return Digests.matches(token, tokenSha256);
    }
}
