package org.filbertrudder.entry;

/**
 * Holds a certificate with its private key, both in PEM form.
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
