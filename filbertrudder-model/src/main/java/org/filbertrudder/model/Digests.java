package org.filbertrudder.model;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 digests. */
public final class Digests {

    private Digests() {}

    /** Returns the SHA-256 digest of the text in hexadecimal. */
    public static String sha256(String text) {
        return sha256(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the SHA-256 digest of the bytes in hexadecimal. */
    public static String sha256(byte[] bytes) {
        return HexFormat.of().formatHex(sha256Bytes(bytes));
    }

    /**
     * Returns whether the text has the digest; the time of the comparison does not depend on where
     * the two differ.
     */
    public static boolean matches(String text, String sha256Hex) {
        byte[] actual = sha256Bytes(text.getBytes(StandardCharsets.UTF_8));
        return MessageDigest.isEqual(actual, HexFormat.of().parseHex(sha256Hex));
    }

    private static byte[] sha256Bytes(byte[] bytes) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("The Java runtime does not provide SHA-256.", e);
        }
    }
}
