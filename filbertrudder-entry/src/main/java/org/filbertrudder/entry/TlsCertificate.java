package org.filbertrudder.entry;

/**
 * Holds a TLS certificate chain and its private key, both in PEM format. {@link #toString} hides
 * both.
 *
 * @param certificate the certificate chain
 * @param key the private key
 */
public record TlsCertificate(String certificate, String key) {

    @Override
    public String toString() {
        return "TlsCertificate[hidden]";
    }
}
