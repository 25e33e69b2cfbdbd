package org.filbertrudder.entry.control;

import com.fasterxml.jackson.databind.JsonNode;
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
import org.filbertrudder.entry.log.Field;
import org.filbertrudder.entry.log.PartLog;
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
import org.filbertrudder.policy.orders.WeightPacer;

/** Brings the engines of one service in one region to what the configuration wants. */
final class OrderGiver {

    private static final PartLog LOG = PartLog.of("orders");
    private static final long CALL_TIMEOUT_MS = 1_500;
    private static final long QUIET_REPORTS_MS = 10_000;
    private static final int STATUS_OK = 200;

    private final HttpClient mClient;
    private final RegionId mRegion;
    private final LongSupplier mClockMs;
    private final WeightPacer mPacer = new WeightPacer();
    private final OrderPlanner mPlanner = new OrderPlanner(mPacer);
    private final Map<EndpointId, EngineReport> mReports = new HashMap<>();
    private long mNextReportsMs;

    OrderGiver(HttpClient client, RegionId region, LongSupplier clockMs) {
        mClient = client;
        mRegion = region;
        mClockMs = clockMs;
    }

    /** Starts anew under a new lease. */
    void leaseAcquired() {
        mReports.clear();
        mNextReportsMs = 0;
        mPlanner.restart(mClockMs.getAsLong());
    }

    /**
     * Sends the orders that are due and asks the engines for their state: at each tick until all
     * agree with the configuration, and seldom from then on.
     */
    void tick(Service service, Configuration configuration, OrderLease lease) {
        long nowMs = mClockMs.getAsLong();
        mPacer.setRate(loadsPerMinute(configuration));
        List<Endpoint> endpoints = endpoints(service, configuration);
        Map<EndpointId, Endpoint> byId = new HashMap<>();
        List<OrderPlanner.Engine> engines = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            byId.put(endpoint.id(), endpoint);
            engines.add(
                    new OrderPlanner.Engine(
                            endpoint.id(), wanted(service, endpoint), mReports.get(endpoint.id())));
        }
        mReports.keySet().retainAll(byId.keySet());
        if (lease.allowsOrder(nowMs)) {
            mPlanner.plan(engines, nowMs)
                    .forEach(id -> order(byId.get(id), wanted(service, byId.get(id)), lease));
        }
        boolean done = engines.stream().allMatch(OrderGiver::agrees);
        if (!done || nowMs >= mNextReportsMs) {
            mNextReportsMs = nowMs + QUIET_REPORTS_MS;
            endpoints.forEach(this::askForReport);
        }
    }

    private static boolean agrees(OrderPlanner.Engine engine) {
        EngineReport report = engine.report();
        return report != null && !report.switching() && report.loaded().equals(engine.wanted());
    }

    /** Divides the rate of the weight store among all givers. */
    private static double loadsPerMinute(Configuration configuration) {
        long services =
                configuration.all(Service.class).stream().filter(Service::takesOrders).count();
        int regions = Math.max(1, configuration.regionIds().size());
        return (double) configuration.rules().weightLoadsPerMinute()
                / (regions * Math.max(1, services));
    }

    private List<Endpoint> endpoints(Service service, Configuration configuration) {
        return configuration.all(Endpoint.class).stream()
                .filter(endpoint -> endpoint.service().equals(service.id()))
                .filter(endpoint -> endpoint.region().equals(mRegion))
                .toList();
    }

    private static EngineSetup wanted(Service service, Endpoint endpoint) {
        return new EngineSetup(service.version(), service.adapters(), endpoint.role());
    }

    private void order(Endpoint endpoint, EngineSetup wanted, OrderLease lease) {
        LOG.info(
                "An order is sent.",
                Field.of("endpoint", endpoint.id()),
                Field.of("version", wanted.version()),
                Field.of("fence", lease.fence()));
        Buffer body = Buffer.buffer(Json.write(new Order(lease.fence(), wanted)));
        mClient.request(HttpMethod.POST, endpoint.port(), endpoint.host(), "/orders")
                .compose(
                        request ->
                                request.putHeader("content-type", "application/json")
                                        .idleTimeout(CALL_TIMEOUT_MS)
                                        .send(body))
                .onSuccess(
                        response -> {
                            if (response.statusCode() != STATUS_OK) {
                                LOG.warn(
                                        "An order was refused.",
                                        Field.of("endpoint", endpoint.id()),
                                        Field.of("status", response.statusCode()));
                            }
                        });
    }

    private void askForReport(Endpoint endpoint) {
        mClient.request(HttpMethod.GET, endpoint.port(), endpoint.host(), "/load")
                .compose(request -> request.idleTimeout(CALL_TIMEOUT_MS).send())
                .compose(response -> response.body())
                .onSuccess(body -> noteReport(endpoint, body));
    }

    private void noteReport(Endpoint endpoint, Buffer body) {
        report(body).ifPresent(report -> mReports.put(endpoint.id(), report));
    }

    private Optional<EngineReport> report(Buffer body) {
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

    /** Returns what is known of the engines, for the state dump. */
    Map<EndpointId, EngineReport> reports() {
        return Map.copyOf(mReports);
    }

    private record Order(long fence, EngineSetup setup) {}
}
