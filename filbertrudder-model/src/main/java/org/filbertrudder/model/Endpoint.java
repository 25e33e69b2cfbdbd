package org.filbertrudder.model;

/**
 * Configures an endpoint: a server process that executes requests of a service.
 *
 * @param id the endpoint's id
 * @param service the service that the endpoint provides
 * @param region the region where the endpoint runs
 * @param failureDomain the failure domain where the endpoint runs
 * @param host the IP address to connect to
 * @param port the TCP port to connect to
 * @param slots the maximum number of concurrent requests
 * @param role the inference phases that a model engine executes
 */
public record Endpoint(
        EndpointId id,
        ServiceId service,
        RegionId region,
        FailureDomainId failureDomain,
        String host,
        int port,
        int slots,
        EngineRole role)
        implements Entity {

    /** Uses {@link EngineRole#BOTH} if no role is given. */
    public Endpoint {
        role = role == null ? EngineRole.BOTH : role;
    }

    /** Returns an endpoint that executes requests from prefill to the last token. */
    public static Endpoint of(
            EndpointId id,
            ServiceId service,
            RegionId region,
            FailureDomainId failureDomain,
            String host,
            int port,
            int slots) {
        return new Endpoint(id, service, region, failureDomain, host, port, slots, EngineRole.BOTH);
    }

    @Override
    public EntityKey entityKey() {
        return EntityKey.of(EntityKind.ENDPOINT, id.value());
    }
}
