package org.filbertrudder.model;

import java.util.regex.Pattern;

/** Checks the form of identifiers. */
final class Identifiers {

    private static final Pattern FORM = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,62}");

    private Identifiers() {}

    static void check(String kind, String value) {
        if (value == null || !FORM.matcher(value).matches()) {
            throw new InvalidValueException(
                    "The "
                            + kind
                            + " id '"
                            + value
                            + "' is not valid. Use 1 to 63 letters, digits, '.', '_', ':' or '-',"
                            + " starting with a letter or digit.");
        }
    }
}
