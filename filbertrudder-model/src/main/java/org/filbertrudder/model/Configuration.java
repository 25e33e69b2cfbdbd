package org.filbertrudder.model;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pcollections.TreePMap;

/**
 * Holds one immutable revision of the operators' configuration.
 *
 * <p>Revisions share unchanged entities through a persistent map, so the cost of a change does not
 * grow with the number of entities.
 */
public final class Configuration {

    private static final Map<Class<?>, EntityKind> KIND_BY_TYPE =
            Map.of(
                    Region.class, EntityKind.REGION,
                    Link.class, EntityKind.LINK,
                    Service.class, EntityKind.SERVICE,
                    Endpoint.class, EntityKind.ENDPOINT,
                    Account.class, EntityKind.ACCOUNT,
                    ApiKey.class, EntityKind.KEY,
                    Operator.class, EntityKind.OPERATOR,
                    Rules.class, EntityKind.RULES);

    /** The empty configuration at revision 0, before the first change. */
    public static final Configuration EMPTY = of(0, "", List.of());

    private final long mRevision;
    private final String mDigest;
    private final TreePMap<EntityKey, Entity> mEntities;
    private final Map<EntityKind, Long> mLastChangeRevisions;
    private final Topology mTopology;

    private Configuration(
            long revision,
            String digest,
            TreePMap<EntityKey, Entity> entities,
            Map<EntityKind, Long> lastChangeRevisions,
            Topology topology) {
        mRevision = revision;
        mDigest = digest;
        mEntities = entities;
        mLastChangeRevisions = lastChangeRevisions;
        mTopology = topology == null ? new Topology(all(Region.class), all(Link.class)) : topology;
    }

    /** Rebuilds a configuration from a snapshot of its entities. */
    public static Configuration of(long revision, String digest, List<Entity> entities) {
        TreePMap<EntityKey, Entity> entitiesByKey = TreePMap.empty();
        for (Entity entity : entities) {
            entitiesByKey = entitiesByKey.plus(entity.entityKey(), entity);
        }
        Map<EntityKind, Long> lastChangeRevisions = new EnumMap<>(EntityKind.class);
        for (EntityKind kind : EntityKind.values()) {
            lastChangeRevisions.put(kind, revision);
        }
        return new Configuration(revision, digest, entitiesByKey, lastChangeRevisions, null);
    }

    /**
     * Returns the next revision, with the change applied.
     *
     * @throws IllegalArgumentException if the revision or the previous digest of the change does
     *     not match this configuration
     */
    public Configuration apply(Change change) {
        if (change.revision() != mRevision + 1 || !change.previousDigest().equals(mDigest)) {
            throw new IllegalArgumentException(
                    "Change "
                            + change.revision()
                            + " does not apply to the configuration at revision "
                            + mRevision);
        }
        TreePMap<EntityKey, Entity> entities = mEntities;
        Map<EntityKind, Long> lastChangeRevisions = new EnumMap<>(mLastChangeRevisions);
        for (Edit edit : change.edits()) {
            entities = applyEdit(entities, edit);
            lastChangeRevisions.put(edit.target().kind(), change.revision());
        }
        boolean topologyUnchanged =
                lastChangeRevisions.get(EntityKind.REGION) <= mRevision
                        && lastChangeRevisions.get(EntityKind.LINK) <= mRevision;
        return new Configuration(
                change.revision(),
                Digests.sha256(mDigest + Json.write(change)),
                entities,
                lastChangeRevisions,
                topologyUnchanged ? mTopology : null);
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

    /**
     * Returns the latest revision that changed an entity of the kind; after a rebuild from a
     * snapshot, the revision of the snapshot.
     */
    public long lastChangeRevision(EntityKind kind) {
        return mLastChangeRevisions.get(kind);
    }

    /** Returns the chained SHA-256 digest of the history up to this revision. */
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
        return find(EntityKey.of(KIND_BY_TYPE.get(type), name)).map(type::cast);
    }

    /** Returns all entities of a type, in the order of their ids. */
    public <T extends Entity> List<T> all(Class<T> type) {
        EntityKind kind = KIND_BY_TYPE.get(type);
        EntityKey from = EntityKey.of(kind, "");
        EntityKey to = EntityKey.of(kind, String.valueOf(Character.MAX_VALUE));
        return mEntities.subMap(from, to).values().stream().map(type::cast).toList();
    }

    /** Returns the client account with the id. */
    public Optional<Account> account(AccountId id) {
        return find(Account.class, id.value());
    }

    /** Returns the API key with the id; empty if it does not exist or was withdrawn. */
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

    /**
     * Returns the regions other than the origin, ordered by link delay from it; regions without a
     * link come last.
     */
    public List<RegionId> nearestTo(RegionId origin) {
        return mTopology.regionsByDelay(origin);
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

    /** Returns the rules that operators have set, or {@link Rules#DEFAULT}. */
    public Rules rules() {
        return find(Rules.DEFAULT.entityKey()).map(Rules.class::cast).orElse(Rules.DEFAULT);
    }

    /** Returns the link between two regions, in either direction. */
    public Optional<Link> link(RegionId first, RegionId second) {
        return mTopology.link(first, second);
    }
}
