package org.filbertrudder.entry;

import org.filbertrudder.model.Digests;
import org.filbertrudder.model.Operator;
import org.filbertrudder.model.OperatorRole;

/**
 * Authenticates an operator by a secret token, of which only the digest is stored.
 *
 * @param name the operator's name, as written to the audit log
 * @param role the role that determines which requests the operator may send
 * @param tokenSha256 the SHA-256 digest of the token, in hexadecimal
 */
public record OperatorCredential(String name, OperatorRole role, String tokenSha256) {

    /** Returns the credential for a plain-text token. */
    public static OperatorCredential of(String name, OperatorRole role, String token) {
        return new OperatorCredential(name, role, Digests.sha256(token));
    }

    /** Returns the credential of an operator that is part of the configuration. */
    public static OperatorCredential from(Operator operator) {
        return new OperatorCredential(operator.name(), operator.role(), operator.tokenSha256());
    }

    /** Returns whether the plain-text token matches the stored digest. */
    public boolean accepts(String token) {
        return Digests.matches(token, tokenSha256);
    }
}
