package org.filbertrudder.gateway.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.gateway.control.GatewaySnapshot;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.routing.RegionGraph;

/** Schedules the services for which instances of the region ask this instance for starts. */
final class StartServer {

    private static final ComponentLogger LOG = ComponentLogger.of("scheduling");

    /**
     * The time without a request or an offer of another region after which the scheduler of a
     * service is dropped, in milliseconds.
     */
    private static final long IDLE_MS = 30_000;

    private final StartContext mContext;
    private final RegionGraph mRegions;
    private final StartNetwork mNetwork;
    private final Map<ServiceId, ScheduledService> mServices = new HashMap<>();

    StartServer(StartContext context, RegionGraph regions, StartNetwork network) {
        mContext = context;
        mRegions = regions;
        mNetwork = network;
    }

    /**
     * Returns whether a scheduler may start requests on the engine: it is usable, warm and has no
     * request limit, which permits of each instance enforce.
     */
    static boolean isSchedulable(EndpointState state, long nowMs) {
        return state.isUsable(nowMs) && !state.isCold(nowMs) && !state.isLimited();
    }

    /**
     * Handles requests for starts.
     *
     * @param reply sends a message back to the sender
     * @return whether the sender may ask this instance for starts of the service
     */
    boolean handle(Member from, PeerMessage.StartRequests message, Consumer<PeerMessage> reply) {
        if (message.requests() == null || !isAccepted(from, message.service())) {
            return false;
        }
        ScheduledService service = mServices.get(message.service());
        if (message.requests().isEmpty()) {
            reply.accept(new PeerMessage.StartDecisions(message.service(), List.of()));
            return true;
        }
        if (service == null) {
            service = create(message.service());
        }
        service.submit(from.id(), message.requests(), reply);
        return true;
    }

    /** Handles a report on started requests and engines. */
    void handle(Member from, PeerMessage.StartReport message, Consumer<PeerMessage> reply) {
        if (!isAccepted(from, message.service())) {
            return;
        }
        ScheduledService service = mServices.get(message.service());
        if (service == null && !message.open().isEmpty()) {
            service = create(message.service());
        }
        if (service != null) {
            service.report(from.id(), message, reply);
        }
    }

    /** Handles the offer of another region. */
    void handle(Member from, PeerMessage.RegionRoom message) {
        boolean valid =
                message.service() != null
                        && from.region().equals(message.region())
                        && StartConversion.isAmount(message.tokensPerSecond())
                        && StartConversion.isAmount(message.startsPerSecond());
        if (!valid) {
            LOG.warn("A malformed offer of a region is ignored.", LogField.of("from", from.id()));
            return;
        }
        ScheduledService service = mServices.get(message.service());
        if (service == null && isPreferred(message.service())) {
            // Without a scheduler, a region without requests would never offer its capacity.
            service = create(message.service());
        }
        if (service != null) {
            service.recordOffer(message);
        }
    }

    private boolean isPreferred(ServiceId service) {
        GatewaySnapshot snapshot = mContext.snapshot().get();
        return snapshot.configuration() != null
                && snapshot.configuration().service(service).isPresent()
                && SchedulerChoice.candidates(service, snapshot.self().region(), snapshot).stream()
                        .findFirst()
                        .filter(member -> member.id().equals(snapshot.self().id()))
                        .isPresent();
    }

    private boolean isAccepted(Member from, ServiceId service) {
        GatewaySnapshot snapshot = mContext.snapshot().get();
        boolean accepted =
                service != null
                        && from.region().equals(snapshot.self().region())
                        && snapshot.configuration() != null
                        && snapshot.configuration().service(service).isPresent();
        if (!accepted) {
            LOG.warn(
                    "A message to the scheduler of an unknown service is ignored.",
                    LogField.of("from", from.id()),
                    LogField.of("service", service));
        }
        return accepted;
    }

    private ScheduledService create(ServiceId service) {
        LOG.info("This instance schedules a service.", LogField.of("service", service));
        ScheduledService created = new ScheduledService(service, mContext, mRegions, mNetwork);
        mServices.put(service, created);
        return created;
    }

    /** Runs passes and the periodic tasks of all services. */
    void tick() {
        long nowMs = mContext.nowMs();
        List.copyOf(mServices.values()).forEach(ScheduledService::tick);
        mServices
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean idle = entry.getValue().isIdle(nowMs - IDLE_MS);
                            if (idle) {
                                entry.getValue().close();
                                mContext.metrics().withdraw(entry.getKey());
                            }
                            return idle;
                        });
    }
}
