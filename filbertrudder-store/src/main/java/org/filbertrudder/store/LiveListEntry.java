package org.filbertrudder.store;

/**
 * Describes an entry of the platform's live list, which tracks the running instances and endpoints.
 *
 * @param id the id of the instance or endpoint
 * @param state the state on the live list
 * @param address for an instance, the host and port for its peers; empty for an endpoint
 */
public record LiveListEntry(String id, State state, String address) {

    /** Lists the states on the live list. */
    public enum State {
        LIVE,
        LEAVING
    }
}
