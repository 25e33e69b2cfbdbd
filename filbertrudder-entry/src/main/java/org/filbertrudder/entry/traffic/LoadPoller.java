package org.filbertrudder.entry.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.Json;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.EndpointTable;

/** Polls the load reports of the endpoints in this region. */
final class LoadPoller {

    private static final long POLL_INTERVAL_MS = 1_000;
    private static final long IDLE_TIMEOUT_MS = 900;

    private final TrafficContext mContext;
    private final HttpClient mClient;
    private final EndpointTable mEndpointTable;
    private final Runnable mOnLeavingChanged;
    private final Set<EndpointId> mLeavingEndpoints = new HashSet<>();
    private long mNextPollMs;

    LoadPoller(
            TrafficContext context,
            HttpClient client,
            EndpointTable endpointTable,
            Runnable onLeavingChanged) {
        mContext = context;
        mClient = client;
        mEndpointTable = endpointTable;
        mOnLeavingChanged = onLeavingChanged;
    }

    /** Returns the endpoints whose last load report says that they are leaving. */
    Set<EndpointId> leavingEndpoints() {
        return mLeavingEndpoints;
    }

    void tick(long nowMs) {
        if (nowMs < mNextPollMs) {
            return;
        }
        mNextPollMs = nowMs + POLL_INTERVAL_MS;
        mEndpointTable.findByRegion(mContext.snapshot().self().region()).forEach(this::poll);
    }

    private void poll(EndpointState state) {
        mClient.request(HttpMethod.GET, state.endpoint().port(), state.endpoint().host(), "/load")
                .compose(request -> request.idleTimeout(IDLE_TIMEOUT_MS).send())
                .compose(response -> response.body())
                .onSuccess(body -> applyReport(state, body));
    }

    private void applyReport(EndpointState state, Buffer body) {
        try {
            JsonNode report = Json.MAPPER.readTree(body.getBytes());
            int requests = report.path("running").asInt() + report.path("waiting").asInt();
            state.recordLoadReport(requests, mContext.nowMs());
            setLeaving(state.id(), report.path("leaving").asBoolean(false));
        } catch (IOException e) {
            // Without a load report only the requests that this thread has started count as load.
            setLeaving(state.id(), false);
        }
    }

    private void setLeaving(EndpointId id, boolean leaving) {
        boolean changed = leaving ? mLeavingEndpoints.add(id) : mLeavingEndpoints.remove(id);
        if (changed) {
            mOnLeavingChanged.run();
        }
    }
}
