package org.filbertrudder.model;

/** Checks the form of identifiers. */
final class Identifiers {

    private static final int MAX_LENGTH = 63;

    private Identifiers() {}

    static void check(String kind, String value) {
        if (value == null || !isValid(value)) {
            throw new InvalidValueException(
                    "The "
                            + kind
                            + " id '"
                            + value
                            + "' is not valid. Use 1 to 63 letters, digits, '.', '_', ':' or '-',"
                            + " starting with a letter or digit.");
        }
    }

    /** Checks without a regular expression, as each message between instances holds several ids. */
    private static boolean isValid(String value) {
        if (value.isEmpty() || value.length() > MAX_LENGTH || !isLetterOrDigit(value.charAt(0))) {
            return false;
        }
        for (int i = 1; i < value.length(); i++) {
            char each = value.charAt(i);
            if (!isLetterOrDigit(each) && "._:-".indexOf(each) < 0) {
                return false;
            }
        }
        return true;
    }

    private static boolean isLetterOrDigit(char each) {
        return (each >= 'a' && each <= 'z')
                || (each >= 'A' && each <= 'Z')
                || (each >= '0' && each <= '9');
    }
}
