package org.filbertrudder.model;

/**
 * Reports one reason why a configuration cannot be accepted.
 *
 * @param path the entity and field
 * @param message what is wrong, and the remedy
 */
public record Problem(String path, String message) {

    @Override
    public String toString() {
        return path + ": " + message;
    }
}
