package org.filbertrudder.gateway.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.filbertrudder.entry.log.Field;
import org.filbertrudder.entry.log.PartLog;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewayControl;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.retry.RequestDigest;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.EndpointTable;

/**
 * Finds out whether an endpoint whose connection broke has crashed.
 *
 * <p>One new connection decides: if it is refused, the endpoint gets no requests for a while, and
 * the requests that broke there at the same time are reported to the other instances.
 */
final class EndpointFailureDetector {

    private static final PartLog LOG = PartLog.of("endpoints");

    /** An endpoint that is at another address than registered rests until the next reading. */
    private static final int STATUS_MISDIRECTED = 421;

    private final EndpointConnectionPools mConnections;
    private final GatewayControl mControl;
    private final EndpointTable mTable;
    private final Map<EndpointId, List<RequestDigest>> mInterruptedRequests = new HashMap<>();
    private final Set<EndpointId> mUnreachable = new HashSet<>();

    EndpointFailureDetector(
            EndpointConnectionPools connections, GatewayControl control, EndpointTable table) {
        mConnections = connections;
        mControl = control;
        mTable = table;
    }

    /** Notes a connection that broke while it carried a request. */
    void probeAfterConnectionLoss(EndpointState endpoint, GatewayExchange exchange) {
        boolean probing = mInterruptedRequests.containsKey(endpoint.id());
        mInterruptedRequests
                .computeIfAbsent(endpoint.id(), id -> new ArrayList<>())
                .add(exchange.digest());
        if (probing) {
            return;
        }
        mConnections.open(
                endpoint.endpoint(),
                connection -> {
                    List<RequestDigest> interrupted = mInterruptedRequests.remove(endpoint.id());
                    if (connection != null) {
                        mConnections.release(endpoint.endpoint(), connection);
                        return;
                    }
                    markUnreachable(endpoint);
                    interrupted.forEach(digest -> reportCrash(endpoint.id(), digest));
                });
    }

    /**
     * Checks an endpoint that has not answered for a long time, over a new connection.
     *
     * <p>It rests in any case: some accept connections and answer nothing.
     */
    void probeAfterStall(EndpointState endpoint) {
        LOG.info("An endpoint has fallen silent.", Field.of("endpoint", endpoint.id()));
        mConnections.dropIdle(endpoint.id());
        endpoint.notReachable(Clocks.steadyMs());
        mConnections.open(
                endpoint.endpoint(),
                connection -> {
                    if (connection != null) {
                        mConnections.release(endpoint.endpoint(), connection);
                    } else {
                        markUnreachable(endpoint);
                    }
                });
    }

    private void reportCrash(EndpointId endpoint, RequestDigest digest) {
        mControl.crashes()
                .report(
                        new PeerMessage.CrashReport(
                                digest.account(),
                                digest.bodySha256(),
                                endpoint,
                                System.currentTimeMillis(),
                                false));
    }

    /** Notes an endpoint that accepts no connection. */
    void markUnreachable(EndpointState endpoint) {
        endpoint.notReachable(Clocks.steadyMs());
        if (mUnreachable.add(endpoint.id())) {
            LOG.info("An endpoint accepts no connection.", Field.of("endpoint", endpoint.id()));
        }
    }

    /** Notes an endpoint that has refused to run a request. */
    void noteNotExecuted(EndpointState endpoint, int status) {
        if (status == STATUS_MISDIRECTED) {
            markUnreachable(endpoint);
        } else {
            endpoint.rest(Clocks.steadyMs());
        }
    }

    /** Notes what an answer says of the endpoint itself: that it leaves or wants a pause. */
    void noteResponse(EndpointState endpoint, AnswerHead head) {
        noteResponding(endpoint);
        long nowMs = Clocks.steadyMs();
        if (head.leaving() && mTable.announceLeaving(endpoint, nowMs)) {
            LOG.info("An endpoint says that it leaves.", Field.of("endpoint", endpoint.id()));
        }
        OptionalLong pauseMs = head.pauseMs();
        if (pauseMs.isPresent() && endpoint.pause(pauseMs.getAsLong(), nowMs)) {
            LOG.info(
                    "An endpoint wants a pause.",
                    Field.of("endpoint", endpoint.id()),
                    Field.of("pauseMs", pauseMs.getAsLong()));
        }
    }

    /** Notes that the endpoint answers. */
    void noteResponding(EndpointState endpoint) {
        if (mUnreachable.remove(endpoint.id())) {
            LOG.info("An endpoint answers again.", Field.of("endpoint", endpoint.id()));
        }
    }
}
