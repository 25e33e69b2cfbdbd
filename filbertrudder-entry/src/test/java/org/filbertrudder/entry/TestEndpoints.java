package org.filbertrudder.entry;

import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;

/** Creates endpoints for tests that look only at their addresses. */
public final class TestEndpoints {

    private TestEndpoints() {}

    /** Returns an endpoint that listens on a port of the loopback address. */
    public static Endpoint onPort(int port) {
        return Endpoint.of(
                EndpointId.of("e"),
                ServiceId.of("pool"),
                RegionId.of("mtl"),
                FailureDomainId.of("mtl-a"),
                "127.0.0.1",
                port,
                4);
    }
}
