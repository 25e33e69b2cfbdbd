package org.filbertrudder.model;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** Represents a configured object, identified by its kind and id within a configuration. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Region.class, name = "REGION"),
    @JsonSubTypes.Type(value = Link.class, name = "LINK"),
    @JsonSubTypes.Type(value = Service.class, name = "SERVICE"),
    @JsonSubTypes.Type(value = Endpoint.class, name = "ENDPOINT"),
    @JsonSubTypes.Type(value = Account.class, name = "ACCOUNT"),
    @JsonSubTypes.Type(value = ApiKey.class, name = "KEY"),
    @JsonSubTypes.Type(value = Operator.class, name = "OPERATOR"),
    @JsonSubTypes.Type(value = Rules.class, name = "RULES")
})
public sealed interface Entity
        permits Region, Link, Service, Endpoint, Account, ApiKey, Operator, Rules {

    /** Returns the key of this entity within a configuration. */
    EntityKey entityKey();
}
