package org.filbertrudder.gateway.control;

import java.util.Map;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.StoreEra;

/**
 * Holds the configuration and the evacuations that operators have written, from one store response.
 *
 * @param era the era of the store that the revisions belong to
 * @param revision the store revision of the configuration; 0 if there is none
 * @param configuration the undecoded configuration document; empty if there is none
 * @param evacuations the store revision of the evacuation mark of each evacuated failure domain
 */
public record OperatorState(
        StoreEra era, long revision, String configuration, Map<FailureDomainId, Long> evacuations) {

    /** The state before the first response of the store. */
    public static final OperatorState NONE =
            new OperatorState(StoreEra.UNREPORTED, 0, "", Map.of());

    /** Makes an immutable copy of the evacuations. */
    public OperatorState {
        evacuations = Map.copyOf(evacuations);
    }

    /** Returns whether this state was read no earlier in the history of the store than another. */
    boolean isAtLeastAsNewAs(OperatorState other) {
        return era.equals(other.era) ? revision >= other.revision : era.isAfter(other.era);
    }
}
