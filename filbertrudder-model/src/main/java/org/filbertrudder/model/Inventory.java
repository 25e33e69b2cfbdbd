package org.filbertrudder.model;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Holds the inventory document that operators edit: the configuration without credentials.
 *
 * @param regions the regions
 * @param links the links between regions
 * @param services the services
 * @param endpoints the endpoints
 * @param accounts the client accounts
 * @param rules the rules; null means {@link Rules#DEFAULT}
 */
public record Inventory(
        List<Region> regions,
        List<Link> links,
        List<Service> services,
        List<Endpoint> endpoints,
        List<Account> accounts,
        Rules rules) {

    private static final YAMLMapper YAML =
            YAMLMapper.builder()
                    .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                    .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                    .addMixIn(Entity.class, KindOmittingMixIn.class)
                    .build();

    /** Makes defensive copies; replaces null by empty lists and the default rules. */
    public Inventory {
        regions = regions == null ? List.of() : List.copyOf(regions);
        links = links == null ? List.of() : List.copyOf(links);
        services = services == null ? List.of() : List.copyOf(services);
        endpoints = endpoints == null ? List.of() : List.copyOf(endpoints);
        accounts = accounts == null ? List.of() : List.copyOf(accounts);
        rules = rules == null ? Rules.DEFAULT : rules;
    }

    /**
     * Reads an inventory from YAML or JSON text.
     *
     * @throws InvalidValueException if a field is unknown or has an invalid value; the message
     *     starts with the path of the field
     */
    public static Inventory parse(String text) {
        if (text == null || text.isBlank()) {
            throw new InvalidValueException("The document is empty. Define at least 'regions'.");
        }
        try {
            return YAML.readValue(text, Inventory.class);
        } catch (JsonProcessingException e) {
            throw new InvalidValueException(JsonErrorMessages.describe(e));
        }
    }

    /** Returns a copy with the given rules. */
    public Inventory withRules(Rules newRules) {
        return new Inventory(regions, links, services, endpoints, accounts, newRules);
    }

    /** Returns a copy with the given services. */
    public Inventory withServices(List<Service> newServices) {
        return new Inventory(regions, links, newServices, endpoints, accounts, rules);
    }

    /** Returns the inventory part of a configuration. */
    public static Inventory from(Configuration configuration) {
        return new Inventory(
                configuration.all(Region.class),
                configuration.all(Link.class),
                configuration.all(Service.class),
                configuration.all(Endpoint.class),
                configuration.all(Account.class),
                configuration.rules());
    }

    /** Returns the inventory as a YAML document. */
    public String toYaml() {
        try {
            return YAML.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("The inventory cannot be written as YAML.", e);
        }
    }

    /**
     * Returns the edits that make the configuration match this inventory; API keys and operators
     * are left unchanged.
     */
    public List<Edit> editsFrom(Configuration configuration) {
        Map<EntityKey, Entity> desired = new TreeMap<>();
        entities().forEach(entity -> desired.put(entity.entityKey(), entity));
        List<Edit> edits = new ArrayList<>();
        for (Entity entity : desired.values()) {
            if (!entity.equals(configuration.find(entity.entityKey()).orElse(null))) {
                edits.add(new Edit.Put(entity));
            }
        }
        for (EntityKey key : configuration.keys()) {
            boolean isCredential =
                    key.kind() == EntityKind.KEY || key.kind() == EntityKind.OPERATOR;
            if (!isCredential && !desired.containsKey(key)) {
                edits.add(new Edit.Remove(key));
            }
        }
        return edits;
    }

    private List<Entity> entities() {
        List<Entity> entities = new ArrayList<>();
        entities.addAll(regions);
        entities.addAll(links);
        entities.addAll(services);
        entities.addAll(endpoints);
        entities.addAll(accounts);
        entities.add(rules);
        return entities;
    }

    /** Omits the {@code kind} property, which the enclosing list of the document implies. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NONE)
    private interface KindOmittingMixIn {}
}
