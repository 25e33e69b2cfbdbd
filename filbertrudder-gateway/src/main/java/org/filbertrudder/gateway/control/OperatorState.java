package org.filbertrudder.gateway.control;

import java.util.Map;
import org.filbertrudder.model.FailureDomainId;

/**
 * Holds what operators have written, as of one answer of the store.
 *
 * @param revision the store revision of the configuration; 0 if there is none
 * @param configuration the configuration as written; empty if there is none
 * @param evacuations the store revision of each evacuation in force
 */
public record OperatorState(
        long revision, String configuration, Map<FailureDomainId, Long> evacuations) {

    /** The state before anything is known. */
    public static final OperatorState NONE = new OperatorState(0, "", Map.of());

    /** Copies the evacuations. */
    public OperatorState {
        evacuations = Map.copyOf(evacuations);
    }
}
