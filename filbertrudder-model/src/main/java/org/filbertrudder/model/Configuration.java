package org.filbertrudder.model;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pcollections.TreePMap;

/**
 * Holds one revision of everything that operators configure; immutable.
 *
 * <p>Revisions share whatever a change leaves alone, so a change costs little however many entities
 * there are.
 */
public final class Configuration {

    private static final Map<Class<?>, EntityKind> KINDS =
            Map.of(
                    Region.class, EntityKind.REGION,
                    Link.class, EntityKind.LINK,
                    Service.class, EntityKind.SERVICE,
                    Endpoint.class, EntityKind.ENDPOINT,
                    Account.class, EntityKind.ACCOUNT,
                    ApiKey.class, EntityKind.KEY,
                    Operator.class, EntityKind.OPERATOR,
                    Rules.class, EntityKind.RULES);

    /** The configuration before the first change. */
    public static final Configuration EMPTY = of(0, "", List.of());

    private final long mRevision;
    private final String mDigest;
    private final TreePMap<EntityKey, Entity> mEntities;
    private final Map<EntityKind, Long> mLastChanges;
    private final Topology mTopology;

    private Configuration(
            long revision,
            String digest,
            TreePMap<EntityKey, Entity> entities,
            Map<EntityKind, Long> lastChanges,
            Topology topology) {
        mRevision = revision;
        mDigest = digest;
        mEntities = entities;
        mLastChanges = lastChanges;
        mTopology = topology == null ? new Topology(all(Region.class), all(Link.class)) : topology;
    }

    /** Rebuilds a configuration from a snapshot of its entities. */
    public static Configuration of(long revision, String digest, List<Entity> entities) {
        TreePMap<EntityKey, Entity> byKey = TreePMap.empty();
        for (Entity entity : entities) {
            byKey = byKey.plus(entity.entityKey(), entity);
        }
        Map<EntityKind, Long> lastChanges = new EnumMap<>(EntityKind.class);
        for (EntityKind kind : EntityKind.values()) {
            lastChanges.put(kind, revision);
        }
        return new Configuration(revision, digest, byKey, lastChanges, null);
    }

    /**
     * Returns the configuration after the change.
     *
     * @throws IllegalArgumentException if the change does not build on this revision
     */
    public Configuration apply(Change change) {
        if (change.revision() != mRevision + 1 || !change.previousDigest().equals(mDigest)) {
            throw new IllegalArgumentException(
                    "Change " + change.revision() + " does not build on revision " + mRevision);
        }
        TreePMap<EntityKey, Entity> entities = mEntities;
        Map<EntityKind, Long> lastChanges = new EnumMap<>(mLastChanges);
        for (Edit edit : change.edits()) {
            entities = applyEdit(entities, edit);
            lastChanges.put(edit.target().kind(), change.revision());
        }
        boolean sameTopology =
                lastChanges.get(EntityKind.REGION) <= mRevision
                        && lastChanges.get(EntityKind.LINK) <= mRevision;
        return new Configuration(
                change.revision(),
                Digests.sha256(mDigest + Json.write(change)),
                entities,
                lastChanges,
                sameTopology ? mTopology : null);
    }

    private static TreePMap<EntityKey, Entity> applyEdit(
            TreePMap<EntityKey, Entity> entities, Edit edit) {
        return edit instanceof Edit.Put put
                ? entities.plus(put.target(), put.entity())
                : entities.minus(edit.target());
    }

    /** Returns the revision; 0 before the first change. */
    public long revision() {
        return mRevision;
    }

    /** Returns the revision that last changed an entity of the kind. */
    public long lastChangeOf(EntityKind kind) {
        return mLastChanges.get(kind);
    }

    /** Returns the digest of the whole history up to this revision. */
    public String digest() {
        return mDigest;
    }

    /** Returns the keys of all entities, in order. */
    public Set<EntityKey> keys() {
        return mEntities.keySet();
    }

    /** Returns all entities, in the order of their keys. */
    public List<Entity> entities() {
        return List.copyOf(mEntities.values());
    }

    /** Returns the entity with the key. */
    public Optional<Entity> find(EntityKey key) {
        return Optional.ofNullable(mEntities.get(key));
    }

    private <T extends Entity> Optional<T> find(Class<T> type, String name) {
        return find(EntityKey.of(KINDS.get(type), name)).map(type::cast);
    }

    /** Returns all entities of a type, in the order of their ids. */
    public <T extends Entity> List<T> all(Class<T> type) {
        EntityKind kind = KINDS.get(type);
        EntityKey from = EntityKey.of(kind, "");
        EntityKey to = EntityKey.of(kind, String.valueOf(Character.MAX_VALUE));
        return mEntities.subMap(from, to).values().stream().map(type::cast).toList();
    }

    /** Returns the client account with the id. */
    public Optional<Account> account(AccountId id) {
        return find(Account.class, id.value());
    }

    /** Returns the key with the id; absent once it has been withdrawn. */
    public Optional<ApiKey> apiKey(KeyId id) {
        return find(ApiKey.class, id.value());
    }

    /** Returns the region with the id. */
    public Optional<Region> region(RegionId id) {
        return mTopology.region(id);
    }

    /** Returns the ids of all regions, in order. */
    public Set<RegionId> regionIds() {
        return mTopology.regionIds();
    }

    /** Returns the other regions, those with the least delay first. */
    public List<RegionId> nearestTo(RegionId here) {
        return mTopology.nearest(here);
    }

    /** Returns the service with the id. */
    public Optional<Service> service(ServiceId id) {
        return find(Service.class, id.value());
    }

    /** Returns the service that provides the model. */
    public Optional<Service> serviceForModel(String model) {
        return all(Service.class).stream()
                .filter(service -> service.models().contains(model))
                .findFirst();
    }

    /** Returns the rules in force. */
    public Rules rules() {
        return find(Rules.DEFAULT.entityKey()).map(Rules.class::cast).orElse(Rules.DEFAULT);
    }

    /** Returns the link between two regions. */
    public Optional<Link> link(RegionId first, RegionId second) {
        return mTopology.link(first, second);
    }
}
