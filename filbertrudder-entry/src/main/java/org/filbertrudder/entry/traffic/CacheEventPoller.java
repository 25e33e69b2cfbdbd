package org.filbertrudder.entry.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.filbertrudder.entry.control.EndpointReports;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.Json;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.EndpointTable;

/** Polls the prefix-cache events of the model engines that this thread has used recently. */
final class CacheEventPoller {

    private static final long POLL_INTERVAL_MS = 2_000;
    private static final long REPORT_TIMEOUT_MS = 1_000;

    private final TrafficContext mContext;
    private final EndpointReports mReports;
    private final EndpointTable mEndpointTable;
    private final Map<EndpointId, Long> mLastEventNumbers = new HashMap<>();
    private final Set<EndpointId> mUsedEndpoints = new HashSet<>();
    private long mNextPollMs;

    CacheEventPoller(TrafficContext context, HttpClient client, EndpointTable endpointTable) {
        mContext = context;
        mReports = new EndpointReports(context.vertx(), client, REPORT_TIMEOUT_MS);
        mEndpointTable = endpointTable;
    }

    /** Marks the endpoint for the next poll, as a request with a prompt prefix was sent to it. */
    void markUsed(EndpointState endpoint) {
        mUsedEndpoints.add(endpoint.id());
    }

    void tick(long nowMs) {
        if (nowMs < mNextPollMs) {
            return;
        }
        mNextPollMs = nowMs + POLL_INTERVAL_MS;
        mEndpointTable.findByRegion(mContext.snapshot().self().region()).stream()
                .filter(state -> mUsedEndpoints.contains(state.id()))
                .forEach(this::poll);
        mUsedEndpoints.clear();
    }

    private void poll(EndpointState state) {
        String uri = "/cache/events?after=" + mLastEventNumbers.getOrDefault(state.id(), 0L);
        mReports.request(state.endpoint(), uri).onSuccess(body -> applyEvents(state, body));
    }

    private void applyEvents(EndpointState state, Buffer body) {
        try {
            for (JsonNode event : Json.MAPPER.readTree(body.getBytes()).path("events")) {
                mLastEventNumbers.merge(state.id(), event.path("seq").asLong(), Math::max);
                if (event.hasNonNull("stored")) {
                    state.recordPrefixCached(event.path("stored").asText(), mContext.nowMs());
                } else if (event.hasNonNull("evicted")) {
                    state.recordPrefixEvicted(event.path("evicted").asText());
                }
            }
        } catch (IOException e) {
            // Without cache events only the prefixes that this thread has sent count as cached.
            mLastEventNumbers.remove(state.id());
        }
    }
}
