package org.filbertrudder.gateway.traffic;

import java.util.List;
import java.util.Optional;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.AllowedRegions;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.StartRecords;
import org.filbertrudder.policy.routing.EndpointState;
import org.filbertrudder.policy.scheduling.RefusalReason;

/** Carries out the decisions of a scheduler on requests that have waited for it. */
final class DecisionExecutor {

    private static final ComponentLogger LOG = ComponentLogger.of("scheduling");

    /** The minimum retry time sent to a refused caller, in milliseconds. */
    private static final long MIN_RETRY_AFTER_MS = 250;

    private final ServiceId mService;
    private final StartContext mContext;

    DecisionExecutor(ServiceId service, StartContext context) {
        mService = service;
        mContext = context;
    }

    /** Returns the description of a waiting request; empty if it may run in no known region. */
    Optional<StartRecords.Request> record(ServiceStarts.WaitingStart waiting, long nowMs) {
        return Optional.of(allowedRegions(waiting.exchange()))
                .filter(allowed -> !allowed.allowsNone())
                .map(allowed -> StartConversion.record(waiting, allowed, nowMs));
    }

    /** Returns the regions that may run the request, without those where it was tried. */
    private AllowedRegions allowedRegions(GatewayExchange exchange) {
        if (exchange.triedRegions().isEmpty()) {
            return exchange.allowedRegions();
        }
        List<RegionId> accepting =
                mContext.snapshot().get().acceptingByRegion().keySet().stream()
                        .filter(exchange::mayRunIn)
                        .toList();
        // An instance that stops accepts no requests, but still runs those that it has.
        return AllowedRegions.only(
                accepting.isEmpty() && exchange.mayRunIn(region()) ? List.of(region()) : accepting);
    }

    /** Starts, forwards or refuses a request as decided. */
    void execute(GatewayExchange exchange, InstanceId scheduler, StartRecords.Decision decision) {
        exchange.trace(
                "sched="
                        + scheduler
                        + " waitedMs="
                        + decision.waitedMs()
                        + " ahead="
                        + decision.ahead());
        switch (decision.kind()) {
            case START -> start(exchange, decision.endpoint());
            case FORWARD -> forward(exchange, decision.region());
            default -> refuse(exchange, decision);
        }
    }

    private void start(GatewayExchange exchange, EndpointId endpoint) {
        long nowMs = mContext.nowMs();
        Optional<EndpointState> state =
                mContext.table()
                        .findById(endpoint)
                        .filter(each -> isOfService(each))
                        .filter(each -> each.permitsStart(nowMs));
        if (state.isPresent() && exchange.mayRunIn(region())) {
            mContext.starter().get().startLocal(exchange, state.get());
        } else {
            exchange.trace("unusable=" + endpoint);
            exchange.triedEndpoints().add(endpoint);
            mContext.resubmit(exchange);
        }
    }

    private boolean isOfService(EndpointState state) {
        return state.endpoint().service().equals(mService)
                && state.endpoint().region().equals(region());
    }

    private RegionId region() {
        return mContext.snapshot().get().self().region();
    }

    private void forward(GatewayExchange exchange, RegionId region) {
        if (!region.equals(region()) && exchange.mayRunIn(region) && !exchange.forwarded()) {
            mContext.starter().get().startRemote(exchange, region, Optional.empty());
        } else {
            exchange.triedRegions().add(region);
            mContext.resubmit(exchange);
        }
    }

    private void refuse(GatewayExchange exchange, StartRecords.Decision decision) {
        long retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, decision.retryAfterMs());
        if (decision.reason().equals(RefusalReason.NO_ENDPOINT.name())) {
            mContext.starter().get().giveUp(exchange, GatewayRefusal.unavailable(retryAfterMs));
            return;
        }
        logRefusal(exchange, decision, retryAfterMs);
        mContext.starter().get().giveUp(exchange, GatewayRefusal.overloaded(retryAfterMs));
    }

    private void logRefusal(
            GatewayExchange exchange, StartRecords.Decision decision, long retryAfterMs) {
        LOG.info(
                "A request is refused for lack of room.",
                LogField.of("id", exchange.head().requestId()),
                LogField.of("rank", exchange.priority()),
                LogField.of("account", exchange.queueAccount()),
                LogField.of("reason", decision.reason()),
                LogField.of("waitedMs", decision.waitedMs()),
                LogField.of("waitLimitMs", exchange.latestStartMs() - exchange.arrivedMs()),
                LogField.of("aheadTokens", decision.aheadTokens()),
                LogField.of("retryAfterMs", retryAfterMs));
    }

    /** Refuses a request on which no decision came in time. */
    void refuseExpired(GatewayExchange exchange) {
        mContext.starter().get().giveUp(exchange, GatewayRefusal.overloaded(MIN_RETRY_AFTER_MS));
    }
}
