package org.filbertrudder.model;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Holds one revision of everything that operators configure; immutable. */
public final class Configuration {

    /** The configuration before the first change. */
    public static final Configuration EMPTY = new Configuration(0, "", new TreeMap<>());

    private final long mRevision;
    private final String mDigest;
    private final Map<EntityKey, Entity> mEntities;
    private final Map<AccountId, Account> mAccounts = new LinkedHashMap<>();
    private final Map<KeyId, ApiKey> mApiKeys = new LinkedHashMap<>();
    private final Map<RegionId, Region> mRegions = new LinkedHashMap<>();
    private final Map<ServiceId, Service> mServices = new LinkedHashMap<>();
    private final Map<String, Service> mServicesByModel = new LinkedHashMap<>();
    private Rules mRules = Rules.DEFAULT;

    private Configuration(long revision, String digest, TreeMap<EntityKey, Entity> entities) {
        mRevision = revision;
        mDigest = digest;
        mEntities = Collections.unmodifiableMap(entities);
        entities.values().forEach(this::index);
    }

    /** Rebuilds a configuration from a snapshot of its entities. */
    public static Configuration of(long revision, String digest, List<Entity> entities) {
        TreeMap<EntityKey, Entity> byKey = new TreeMap<>();
        entities.forEach(entity -> byKey.put(entity.entityKey(), entity));
        return new Configuration(revision, digest, byKey);
    }

    private void index(Entity entity) {
        if (entity instanceof Account account) {
            mAccounts.put(account.id(), account);
        } else if (entity instanceof ApiKey key) {
            mApiKeys.put(key.id(), key);
        } else if (entity instanceof Region region) {
            mRegions.put(region.id(), region);
        } else if (entity instanceof Service service) {
            mServices.put(service.id(), service);
            service.models().forEach(model -> mServicesByModel.put(model, service));
        } else if (entity instanceof Rules rules) {
            mRules = rules;
        }
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
        TreeMap<EntityKey, Entity> entities = new TreeMap<>(mEntities);
        change.edits().forEach(edit -> applyEdit(entities, edit));
        String digest = Digests.sha256(mDigest + Json.write(change));
        return new Configuration(change.revision(), digest, entities);
    }

    private static void applyEdit(Map<EntityKey, Entity> entities, Edit edit) {
        if (edit instanceof Edit.Put put) {
            entities.put(put.target(), put.entity());
        } else {
            entities.remove(edit.target());
        }
    }

    /** Returns the revision; 0 before the first change. */
    public long revision() {
        return mRevision;
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

    /** Returns all entities of a type, in the order of their ids. */
    public <T extends Entity> List<T> all(Class<T> type) {
        return mEntities.values().stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Returns the client account with the id. */
    public Optional<Account> account(AccountId id) {
        return Optional.ofNullable(mAccounts.get(id));
    }

    /** Returns the key with the id; absent once it has been withdrawn. */
    public Optional<ApiKey> apiKey(KeyId id) {
        return Optional.ofNullable(mApiKeys.get(id));
    }

    /** Returns the region with the id. */
    public Optional<Region> region(RegionId id) {
        return Optional.ofNullable(mRegions.get(id));
    }

    /** Returns the ids of all regions, in order. */
    public Set<RegionId> regionIds() {
        return mRegions.keySet();
    }

    /** Returns the service with the id. */
    public Optional<Service> service(ServiceId id) {
        return Optional.ofNullable(mServices.get(id));
    }

    /** Returns the service that provides the model. */
    public Optional<Service> serviceForModel(String model) {
        return Optional.ofNullable(mServicesByModel.get(model));
    }

    /** Returns the rules in force. */
    public Rules rules() {
        return mRules;
    }

    /** Returns the link between two regions. */
    public Optional<Link> link(RegionId first, RegionId second) {
        return all(Link.class).stream().filter(link -> link.joins(first, second)).findFirst();
    }
}
