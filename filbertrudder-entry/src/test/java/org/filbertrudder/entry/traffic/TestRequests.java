package org.filbertrudder.entry.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.Map;

/** Creates requests for tests that look only at their ids, methods and bodies. */
final class TestRequests {

    private TestRequests() {}

    static Exchange.Request get(String requestId) {
        return of(requestId, "GET", Buffer.buffer());
    }

    static Exchange.Request of(String requestId, String method, Buffer body) {
        return new Exchange.Request(
                requestId, null, null, null, method, "/x", Map.of(), body, false, 0, 0, "", false,
                false, 0);
    }
}
