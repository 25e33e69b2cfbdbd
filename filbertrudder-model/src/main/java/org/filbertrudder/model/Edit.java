package org.filbertrudder.model;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** Represents one edit within a change: stores or removes an entity. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "edit")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Edit.Put.class, name = "PUT"),
    @JsonSubTypes.Type(value = Edit.Remove.class, name = "REMOVE")
})
public sealed interface Edit {

    /** Returns the key of the entity that the edit stores or removes. */
    EntityKey target();

    /**
     * Stores an entity; replaces an entity with the same key.
     *
     * @param entity the new value
     */
    record Put(Entity entity) implements Edit {

        @Override
        public EntityKey target() {
            return entity.entityKey();
        }
    }

    /**
     * Removes an entity.
     *
     * @param target the key of the entity
     */
    record Remove(EntityKey target) implements Edit {}
}
