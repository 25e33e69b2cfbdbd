package org.filbertrudder.entry;

import org.filbertrudder.model.Digests;

/**
 * Recognises an operator by a secret token, of which only the digest is kept.
 *
 * @param name the operator's name in the audit log
 * @param role what the operator may do
 * @param tokenSha256 the SHA-256 digest of the token, in hexadecimal
 */
public record OperatorCredential(String name, Role role, String tokenSha256) {

    /** Returns the credential for a token in plain text. */
    public static OperatorCredential of(String name, Role role, String token) {
        return new OperatorCredential(name, role, Digests.sha256(token));
    }

    /** Returns whether the token is this operator's. */
    public boolean accepts(String token) {
        return Digests.matches(token, tokenSha256);
    }

    /** Lists what operators may do. */
    public enum Role {
        /** May look at everything. */
        READ,
        /** May change everything. */
        OPERATE
    }
}
