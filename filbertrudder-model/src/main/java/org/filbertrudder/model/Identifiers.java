package org.filbertrudder.model;

/** Validates the syntax of identifiers. */
final class Identifiers {

    private static final int MAX_LENGTH = 63;

    private Identifiers() {}

    /** Throws an {@link InvalidValueException} if the identifier is malformed. */
    static void requireValid(String kind, String value) {
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

    /** Avoids a regular expression because each peer message decodes several identifiers. */
    private static boolean isValid(String value) {
        if (value.isEmpty() || value.length() > MAX_LENGTH || !isLetterOrDigit(value.charAt(0))) {
            return false;
        }
        for (int i = 1; i < value.length(); i++) {
            char character = value.charAt(i);
            if (!isLetterOrDigit(character) && "._:-".indexOf(character) < 0) {
                return false;
            }
        }
        return true;
    }

    private static boolean isLetterOrDigit(char character) {
        return (character >= 'a' && character <= 'z')
                || (character >= 'A' && character <= 'Z')
                || (character >= '0' && character <= '9');
    }
}
