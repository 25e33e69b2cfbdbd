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
 */
public record Service(
        ServiceId id,
        ServiceKind type,
        List<String> models,
        List<String> openPaths,
        boolean fencesOrders)
        implements Entity {

    /** Copies the lists. */
    public Service {
        models = models == null ? List.of() : List.copyOf(models);
        openPaths = openPaths == null ? List.of() : List.copyOf(openPaths);
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
