package org.filbertrudder.model;

import java.util.Locale;

/**
 * Identifies an entity within a configuration; keys are ordered by kind, then by name.
 *
 * @param kind the kind of the entity
 * @param name the entity's id, unique within its kind
 */
public record EntityKey(EntityKind kind, String name) implements Comparable<EntityKey> {

    /** Returns the key for the given kind and name. */
    public static EntityKey of(EntityKind kind, String name) {
        return new EntityKey(kind, name);
    }

    @Override
    public int compareTo(EntityKey other) {
        int byKind = kind.compareTo(other.kind);
        return byKind != 0 ? byKind : name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return kind.name().toLowerCase(Locale.ROOT) + "/" + name;
    }
}
