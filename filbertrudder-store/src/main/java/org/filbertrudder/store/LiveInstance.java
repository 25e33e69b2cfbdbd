package org.filbertrudder.store;

/**
 * Describes an instance or endpoint on the platform's live list.
 *
 * @param id the id of the instance or endpoint
 * @param state whether it is live or leaving
 * @param address host and port for other instances; empty for endpoints
 */
public record LiveInstance(String id, State state, String address) {

    /** Lists the states on the live list. */
    public enum State {
        LIVE,
        LEAVING
    }
}
