package org.filbertrudder.model;

import java.util.List;

/**
 * Describes a service that endpoints provide.
 *
 * @param id the service's id
 * @param type whether the service is a model pool or a plain service
 * @param models the model names that callers may use, for a model pool
 * @param openPaths path prefixes that need no key, for a plain service
 * @param fencesOrders whether the endpoints refuse an order with an old fencing number
 * @param version the model version that the engines are ordered to load; empty if nobody orders
 * @param adapters the adapters that the engines are ordered to load
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

    /** Copies the lists; fills in what is missing. */
    public Service {
        models = models == null ? List.of() : List.copyOf(models);
        openPaths = openPaths == null ? List.of() : List.copyOf(openPaths);
        version = version == null ? "" : version;
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
    }

    /** Returns a service whose engines get no orders. */
    public static Service of(
            ServiceId id,
            ServiceKind type,
            List<String> models,
            List<String> openPaths,
            boolean fencesOrders) {
        return new Service(id, type, models, openPaths, fencesOrders, "", List.of());
    }

    /** Returns the service with another version and other adapters. */
    public Service withSetup(String newVersion, List<String> newAdapters) {
        return new Service(id, type, models, openPaths, fencesOrders, newVersion, newAdapters);
    }

    /** Returns whether the system orders what the endpoints load. */
    public boolean takesOrders() {
        return type == ServiceKind.MODEL && !version.isEmpty();
    }

    @Override
    public EntityKey entityKey() {
        return EntityKey.of(EntityKind.SERVICE, id.value());
    }

    /** Returns whether callers may use the path without a key. */
    public boolean isOpen(String path) {
        return openPaths.stream()
                .anyMatch(prefix -> path.equals(prefix) || path.startsWith(prefix + "/"));
    }
}
