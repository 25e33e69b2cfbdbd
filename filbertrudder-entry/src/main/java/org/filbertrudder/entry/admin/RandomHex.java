package org.filbertrudder.entry.admin;

import java.security.SecureRandom;
import java.util.HexFormat;

/** Makes texts that nobody can guess. */
final class RandomHex {

    private static final SecureRandom RANDOM = new SecureRandom();

    private RandomHex() {}

    /** Returns a number of random bytes in hexadecimal. */
    static String of(int bytes) {
        byte[] random = new byte[bytes];
        RANDOM.nextBytes(random);
        return HexFormat.of().formatHex(random);
    }
}
