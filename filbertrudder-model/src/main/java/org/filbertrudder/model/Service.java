package org.filbertrudder.model;

import java.util.List;

/**
 * Configures a service that a set of endpoints provides.
 *
 * @param id the service's id
 * @param type the kind of the service
 * @param models for a model pool, the model names that requests may contain
 * @param openPaths for a plain service, the path prefixes that require no API key
 * @param fencesOrders whether the endpoints reject load orders with an outdated fencing token
 * @param version the model version that the engines are instructed to load; empty if the system
 *     does not manage it
 * @param adapters the adapters that the engines are instructed to load
 */
public record Service(
        ServiceId id,
        ServiceKind type,
        List<String> models,
        List<String> openPaths,
        boolean fencesOrders,
        String version,
        List<String> adapters)
        implements Entity {

    /** Makes defensive copies; replaces null by empty lists and an empty version. */
    public Service {
        models = models == null ? List.of() : List.copyOf(models);
        openPaths = openPaths == null ? List.of() : List.copyOf(openPaths);
        version = version == null ? "" : version;
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
    }

    /** Returns a service whose loaded model version the system does not manage. */
    public static Service of(
            ServiceId id,
            ServiceKind type,
            List<String> models,
            List<String> openPaths,
            boolean fencesOrders) {
        return new Service(id, type, models, openPaths, fencesOrders, "", List.of());
    }

    /** Returns a copy with the given model version and adapters. */
    public Service withVersionAndAdapters(String newVersion, List<String> newAdapters) {
        return new Service(id, type, models, openPaths, fencesOrders, newVersion, newAdapters);
    }

    /** Returns whether the system instructs the endpoints which model version to load. */
    public boolean managesModelVersion() {
        return type == ServiceKind.MODEL && !version.isEmpty();
    }

    @Override
    public EntityKey entityKey() {
        return EntityKey.of(EntityKind.SERVICE, id.value());
    }

    /** Returns whether requests to the path need no API key. */
    public boolean allowsAnonymousAccess(String path) {
        return openPaths.stream()
                .anyMatch(prefix -> path.equals(prefix) || path.startsWith(prefix + "/"));
    }
}
