package org.filbertrudder.model;

/**
 * Describes one validation problem of a configuration.
 *
 * @param path the path of the invalid field, such as {@code endpoint/chat-1.port}
 * @param message the problem and how to correct it
 */
public record ConfigurationProblem(String path, String message) {

    @Override
    public String toString() {
        return path + ": " + message;
    }
}
