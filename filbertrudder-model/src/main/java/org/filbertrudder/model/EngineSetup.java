package org.filbertrudder.model;

import java.util.List;

/**
 * Describes the model that an engine has loaded or is instructed to load.
 *
 * @param version the version of the model
 * @param adapters the adapters to apply to the model, in order
 * @param role the inference phases that the engine executes
 */
public record EngineSetup(String version, List<String> adapters, EngineRole role) {

    /**
     * Copies the adapters; replaces null by no version, no adapters and {@link EngineRole#BOTH}.
     */
    public EngineSetup {
        version = version == null ? "" : version;
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
        role = role == null ? EngineRole.BOTH : role;
    }
}
