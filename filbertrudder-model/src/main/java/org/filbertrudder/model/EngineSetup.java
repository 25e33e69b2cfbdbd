package org.filbertrudder.model;

import java.util.List;

/**
 * Describes what a model engine has loaded, or is ordered to load.
 *
 * @param version the version of the model
 * @param adapters the adapters on top of the model, in order
 * @param role the part of a request that the engine runs
 */
public record EngineSetup(String version, List<String> adapters, EngineRole role) {

    /** Copies the adapters; fills in what is missing. */
    public EngineSetup {
        version = version == null ? "" : version;
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
        role = role == null ? EngineRole.BOTH : role;
    }
}
