package org.filbertrudder.gateway.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.gateway.control.GatewaySnapshot;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.peer.PeerConnection;
import org.filbertrudder.peer.PeerNetwork;
import org.filbertrudder.policy.limits.SchedulerSelection;
import org.filbertrudder.policy.limits.SendPermits;
import org.filbertrudder.policy.limits.SendSlots;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.EndpointTable;

/**
 * Obtains permits to send requests to endpoints with a limit, and grants permits for the endpoints
 * that this instance schedules.
 */
final class SendPermitService {

    private static final ComponentLogger LOG = ComponentLogger.of("limits");

    /** The time after which an instance that asked a wrong scheduler may ask again, in ms. */
    private static final long NOT_SCHEDULER_RETRY_MS = 500;

    /** The longest wait that a reply may state, in milliseconds. */
    private static final long MAX_WAIT_MS = 3_600_000;

    private final EndpointTable mTable;
    private final EndpointLimitTracker mLimits;
    private final Supplier<GatewaySnapshot> mSnapshot;
    private final PeerNetwork mNetwork;
    private final GatewayMetrics mMetrics;
    private final Consumer<ServiceId> mOnPermit;
    private final SendSlots mSlots = new SendSlots();
    private final Map<EndpointId, Unanswered> mUnanswered = new HashMap<>();
    private long mNextId = 1;

    /**
     * Creates the service.
     *
     * @param onPermit runs when a permit for an endpoint of the service has been obtained
     */
    SendPermitService(
            EndpointTable table,
            EndpointLimitTracker limits,
            Supplier<GatewaySnapshot> snapshot,
            PeerNetwork network,
            GatewayMetrics metrics,
            Consumer<ServiceId> onPermit) {
        mTable = table;
        mLimits = limits;
        mSnapshot = snapshot;
        mNetwork = network;
        mMetrics = metrics;
        mOnPermit = onPermit;
        metrics.gauge("limit_schedules", mSlots::size);
    }

    /** Requests the permits that waiting requests need. */
    void tick(long nowMs) {
        if (!mTable.limits().hasLimits() && mSlots.size() == 0) {
            return;
        }
        GatewaySnapshot snapshot = mSnapshot.get();
        RegionId region = snapshot.self().region();
        for (EndpointState state : mTable.findByRegion(region)) {
            state.permits()
                    .filter(permits -> permits.shouldRequest(nowMs))
                    .ifPresent(permits -> request(state, permits, snapshot, nowMs));
        }
        mUnanswered.keySet().removeIf(endpoint -> mTable.findById(endpoint).isEmpty());
        mSlots.retainIf(endpoint -> isScheduler(endpoint, snapshot), nowMs);
    }

    private void request(
            EndpointState state, SendPermits permits, GatewaySnapshot snapshot, long nowMs) {
        Optional<Member> scheduler =
                SchedulerSelection.scheduler(
                        state.id(), snapshot.self().region(), snapshot.members());
        if (scheduler.isEmpty()) {
            permits.noteNoScheduler(nowMs);
            return;
        }
        replaceSilentConnection(state.id());
        long id = mNextId++;
        int wanted = permits.request(id, nowMs);
        PeerMessage.SendPermitRequest request =
                new PeerMessage.SendPermitRequest(id, mLimits.report(state.id()), wanted);
        if (scheduler.get().id().equals(snapshot.self().id())) {
            handleReply(reply(request, snapshot.self().id(), snapshot, nowMs));
        } else {
            PeerAddress address = PeerAddress.ofForwards(scheduler.get());
            mUnanswered.put(state.id(), new Unanswered(id, address));
            mNetwork.send(address, request);
        }
    }

    /** Closes the connection on which the last request for permits was lost. */
    private void replaceSilentConnection(EndpointId endpoint) {
        Unanswered lost = mUnanswered.remove(endpoint);
        if (lost != null) {
            LOG.info(
                    "A connection without a reply to a request for permits is replaced.",
                    LogField.of("endpoint", endpoint),
                    LogField.of("address", lost.scheduler()));
            mNetwork.disconnect(lost.scheduler());
        }
    }

    private static boolean isScheduler(EndpointId endpoint, GatewaySnapshot snapshot) {
        return SchedulerSelection.scheduler(endpoint, snapshot.self().region(), snapshot.members())
                .map(member -> member.id().equals(snapshot.self().id()))
                .orElse(false);
    }

    /** Handles a request for permits or a reply; returns false for other messages. */
    boolean handle(PeerConnection connection, PeerMessage message) {
        Member from = connection.peerMember();
        if (message instanceof PeerMessage.SendPermitRequest request) {
            mLimits.applyReports(from.id(), List.of(request.limit()));
            PeerMessage reply = reply(request, from.id(), mSnapshot.get(), Clocks.steadyMs());
            if (connection.peerLife() != 0) {
                // Another connection to the requester may be silent.
                connection.send(reply);
            } else {
                mNetwork.send(PeerAddress.ofForwards(from), reply);
            }
            return true;
        }
        if (message instanceof PeerMessage.SendPermitReply reply) {
            mLimits.applyReports(from.id(), List.of(reply.limit()));
            handleReply(reply);
            return true;
        }
        return false;
    }

    /** Decides on a request for permits, also of this instance itself. */
    private PeerMessage.SendPermitReply reply(
            PeerMessage.SendPermitRequest request,
            InstanceId requester,
            GatewaySnapshot snapshot,
            long nowMs) {
        EndpointId endpoint = request.limit().endpoint();
        // An instance that does not know yet that the limit has ended still gets permits, as it
        // finds out by its next request.
        Double perSecond =
                mTable.limits().perSecond(endpoint).isPresent()
                        ? Double.valueOf(mTable.limits().perSecond(endpoint).getAsDouble())
                        : request.limit().perSecond();
        int count = 0;
        long waitMs = NOT_SCHEDULER_RETRY_MS;
        if (perSecond != null && isScheduler(endpoint, snapshot)) {
            double part = SchedulerSelection.part(snapshot.self().region(), snapshot.members());
            SendSlots.Reservation reservation =
                    mSlots.reserve(endpoint, requester, part * perSecond, request.wanted(), nowMs);
            count = reservation.count();
            waitMs = reservation.waitMs();
        }
        mMetrics.counter(count > 0 ? "send_permits_granted" : "send_permits_deferred").inc();
        return new PeerMessage.SendPermitReply(
                request.id(), mLimits.report(endpoint), count, waitMs);
    }

    private void handleReply(PeerMessage.SendPermitReply reply) {
        long nowMs = Clocks.steadyMs();
        if (reply.waitMs() < 0 || reply.waitMs() > MAX_WAIT_MS) {
            LOG.warn(
                    "A malformed reply to a request for permits is ignored.",
                    LogField.of("endpoint", reply.limit().endpoint()),
                    LogField.of("waitMs", reply.waitMs()));
            return;
        }
        EndpointId endpoint = reply.limit().endpoint();
        mUnanswered.computeIfPresent(
                endpoint, (id, asked) -> asked.id() == reply.id() ? null : asked);
        mTable.findById(endpoint).ifPresent(state -> apply(reply, state, nowMs));
    }

    private void apply(PeerMessage.SendPermitReply reply, EndpointState state, long nowMs) {
        state.permits()
                .ifPresent(
                        permits ->
                                permits.handleReply(
                                        reply.id(), reply.count(), reply.waitMs(), nowMs));
        mOnPermit.accept(state.endpoint().service());
    }

    /** A request for permits that has got no reply yet. */
    private record Unanswered(long id, PeerAddress scheduler) {}
}
