package org.filbertrudder.gateway.control;

import java.util.Map;
import org.filbertrudder.model.FailureDomainId;

/**
 * Holds the configuration and the evacuations that operators have written, from one store response.
 *
 * @param revision the store revision of the configuration; 0 if there is none
 * @param configuration the undecoded configuration document; empty if there is none
 * @param evacuations the store revision of the evacuation mark of each evacuated failure domain
 */
public record OperatorState(
        long revision, String configuration, Map<FailureDomainId, Long> evacuations) {

    /** The state before the first response of the store. */
    public static final OperatorState NONE = new OperatorState(0, "", Map.of());

    /** Makes an immutable copy of the evacuations. */
    public OperatorState {
        evacuations = Map.copyOf(evacuations);
    }
}
