package org.filbertrudder.entry.control;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.filbertrudder.entry.log.ComponentLogger;
import org.filbertrudder.entry.log.LogField;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.EngineSetup;
import org.filbertrudder.model.Json;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.Service;
import org.filbertrudder.policy.orders.EngineReport;
import org.filbertrudder.policy.orders.OrderLease;
import org.filbertrudder.policy.orders.OrderPlanner;
import org.filbertrudder.policy.orders.WeightFetchLimiter;

/**
 * Reconciles the engines of one service in one region with the configuration by sending orders to
 * load the configured setup.
 */
final class EngineReconciler {

    private static final ComponentLogger LOG = ComponentLogger.of("orders");
    private static final long REQUEST_IDLE_TIMEOUT_MS = 1_500;
    private static final long CONVERGED_REPORT_INTERVAL_MS = 10_000;
    private static final int STATUS_OK = 200;

    private final HttpClient mHttpClient;
    private final EndpointReports mEndpointReports;
    private final RegionId mRegion;
    private final LongSupplier mClockMs;
    private final WeightFetchLimiter mWeightFetchLimiter = new WeightFetchLimiter();
    private final OrderPlanner mPlanner = new OrderPlanner(mWeightFetchLimiter);
    private final Map<EndpointId, EngineReport> mReports = new HashMap<>();
    private long mNextReportRequestMs;

    EngineReconciler(Vertx vertx, HttpClient httpClient, RegionId region, LongSupplier clockMs) {
        mHttpClient = httpClient;
        mEndpointReports = new EndpointReports(vertx, httpClient, REQUEST_IDLE_TIMEOUT_MS);
        mRegion = region;
        mClockMs = clockMs;
    }

    /** Discards reports and planned orders when a new lease begins. */
    void resetForLease() {
        mReports.clear();
        mNextReportRequestMs = 0;
        mPlanner.reset(mClockMs.getAsLong());
    }

    /**
     * Sends due orders and requests the state of the engines: at each tick until all engines match
     * the configuration, and at a longer interval from then on.
     */
    void tick(Service service, Configuration configuration, OrderLease lease) {
        long nowMs = mClockMs.getAsLong();
        mWeightFetchLimiter.setRate(loadsPerMinute(configuration));
        List<Endpoint> endpoints = endpoints(service, configuration);
        Map<EndpointId, Endpoint> endpointsById = new HashMap<>();
        List<OrderPlanner.Engine> engines = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            endpointsById.put(endpoint.id(), endpoint);
            engines.add(
                    new OrderPlanner.Engine(
                            endpoint.id(),
                            desiredSetup(service, endpoint),
                            mReports.get(endpoint.id())));
        }
        mReports.keySet().retainAll(endpointsById.keySet());
        if (lease.allowsOrder(nowMs)) {
            mPlanner.plan(engines, nowMs)
                    .forEach(
                            id ->
                                    sendOrder(
                                            endpointsById.get(id),
                                            desiredSetup(service, endpointsById.get(id)),
                                            lease));
        }
        boolean converged = engines.stream().allMatch(EngineReconciler::matchesDesiredSetup);
        if (!converged || nowMs >= mNextReportRequestMs) {
            mNextReportRequestMs = nowMs + CONVERGED_REPORT_INTERVAL_MS;
            endpoints.forEach(this::requestReport);
        }
    }

    private static boolean matchesDesiredSetup(OrderPlanner.Engine engine) {
        EngineReport report = engine.report();
        return report != null
                && !report.switching()
                && report.loaded().equals(engine.desiredSetup());
    }

    /** Returns the share of one region and service in the configured rate of weight loads. */
    private static double loadsPerMinute(Configuration configuration) {
        long managedServiceCount =
                configuration.all(Service.class).stream()
                        .filter(Service::managesModelVersion)
                        .count();
        int regionCount = Math.max(1, configuration.regionIds().size());
        return (double) configuration.rules().weightLoadsPerMinute()
                / (regionCount * Math.max(1, managedServiceCount));
    }

    private List<Endpoint> endpoints(Service service, Configuration configuration) {
        return configuration.all(Endpoint.class).stream()
                .filter(endpoint -> endpoint.service().equals(service.id()))
                .filter(endpoint -> endpoint.region().equals(mRegion))
                .toList();
    }

    private static EngineSetup desiredSetup(Service service, Endpoint endpoint) {
        return new EngineSetup(service.version(), service.adapters(), endpoint.role());
    }

    private void sendOrder(Endpoint endpoint, EngineSetup desiredSetup, OrderLease lease) {
        LOG.info(
                "Sending an order to an endpoint.",
                LogField.of("endpoint", endpoint.id()),
                LogField.of("version", desiredSetup.version()),
                LogField.of("fence", lease.fence()));
        Buffer body = Buffer.buffer(Json.write(new Order(lease.fence(), desiredSetup)));
        mHttpClient
                .request(HttpMethod.POST, endpoint.port(), endpoint.host(), "/orders")
                .compose(
                        request ->
                                request.putHeader("content-type", "application/json")
                                        .idleTimeout(REQUEST_IDLE_TIMEOUT_MS)
                                        .send(body))
                .onSuccess(
                        response -> {
                            if (response.statusCode() != STATUS_OK) {
                                LOG.warn(
                                        "An endpoint refused an order.",
                                        LogField.of("endpoint", endpoint.id()),
                                        LogField.of("status", response.statusCode()));
                            }
                        });
    }

    private void requestReport(Endpoint endpoint) {
        mEndpointReports.request(endpoint, "/load").onSuccess(body -> storeReport(endpoint, body));
    }

    private void storeReport(Endpoint endpoint, Buffer body) {
        parseReport(body).ifPresent(report -> mReports.put(endpoint.id(), report));
    }

    private Optional<EngineReport> parseReport(Buffer body) {
        try {
            JsonNode setup = Json.MAPPER.readTree(body.getBytes()).path("setup");
            if (setup.isMissingNode()) {
                return Optional.empty();
            }
            EngineSetup loaded = Json.MAPPER.treeToValue(setup.path("loaded"), EngineSetup.class);
            boolean switching = setup.path("switching").asBoolean(false);
            return Optional.of(new EngineReport(loaded, switching, mClockMs.getAsLong()));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Returns the newest report of each engine, for the state dump. */
    Map<EndpointId, EngineReport> reports() {
        return Map.copyOf(mReports);
    }

    private record Order(long fence, EngineSetup setup) {}
}
