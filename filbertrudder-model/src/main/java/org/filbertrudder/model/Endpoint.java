package org.filbertrudder.model;

/**
 * Describes one endpoint, a server process that runs requests of a service.
 *
 * @param id the endpoint's id
 * @param service the service that it provides
 * @param region the region where it runs
 * @param failureDomain the failure domain where it runs
 * @param host the IP number to connect to
 * @param port the TCP port to connect to
 * @param slots the number of requests that it runs at once
 * @param role the part of a request that a model engine runs
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

    /** Fills in the role. */
    public Endpoint {
        role = role == null ? EngineRole.BOTH : role;
    }

    /** Returns an endpoint that runs whole requests. */
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
