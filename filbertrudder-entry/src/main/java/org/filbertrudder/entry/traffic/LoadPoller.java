package org.filbertrudder.entry.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.filbertrudder.entry.control.EndpointReports;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.Json;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.EndpointTable;

/** Polls the load reports of the endpoints in this region. */
final class LoadPoller {

    private static final long POLL_INTERVAL_MS = 1_000;
    private static final long REPORT_TIMEOUT_MS = 900;

    private final TrafficContext mContext;
    private final EndpointReports mReports;
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
        mReports = new EndpointReports(context.vertx(), client, REPORT_TIMEOUT_MS);
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
        mReports.request(state.endpoint(), "/load").onSuccess(body -> applyReport(state, body));
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
