package org.filbertrudder.entry.admin;

import java.security.SecureRandom;
import java.util.HexFormat;

/** Generates hexadecimal strings from cryptographically secure random bytes. */
final class RandomHex {

    private static final SecureRandom RANDOM = new SecureRandom();

    private RandomHex() {}

    /** Returns the given number of random bytes, encoded in hexadecimal. */
    static String of(int byteCount) {
        byte[] bytes = new byte[byteCount];
        RANDOM.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }
}
