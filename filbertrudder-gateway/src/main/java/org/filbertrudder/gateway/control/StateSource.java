package org.filbertrudder.gateway.control;

import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.filbertrudder.gateway.config.EndpointEntry;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.store.StoreCalls;

/** Reads what operators, endpoints and instances have written, and registers this instance. */
public interface StateSource {

    /**
     * Reads the operators' state as of now.
     *
     * @param known the state known here; what has not changed is not read again
     */
    Uni<OperatorState> readOperatorState(OperatorState known);

    /**
     * Reads a configuration as operators write it.
     *
     * @throws org.filbertrudder.model.InvalidValueException if it is not one
     */
    GatewayConfiguration decodeConfiguration(String document);

    /** Reads what all endpoints have registered, as of now, by their ids. */
    Uni<Map<String, String>> readEndpoints();

    /** Reads one endpoint's registration; empty if it names no endpoint to use. */
    Optional<EndpointEntry> decodeEndpoint(String id, String registration);

    /** Registers this instance for a limited time, or extends an earlier registration. */
    Uni<Void> register(Member self);

    /** Removes the registration of this instance. */
    Uni<Void> unregister();

    /** Reads the registered instances; the answer may be seconds old. */
    Uni<List<Member>> readInstances();

    /** Returns the number of calls to the store so far. */
    StoreCalls calls();
}
