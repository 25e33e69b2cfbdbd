package org.filbertrudder.entry.control;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.Service;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.policy.Rendezvous;
import org.filbertrudder.policy.membership.Membership;
import org.filbertrudder.policy.orders.EngineReport;
import org.filbertrudder.policy.orders.OrderLease;
import org.filbertrudder.store.Store;

/** Divides the giving of orders among the instances of a region, one giver for each service. */
final class OrderDesk {

    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final Context mContext;
    private final Store mStore;
    private final Membership mMembership;
    private final LongSupplier mClockMs;
    private final HttpClient mClient;
    private final Map<ServiceId, Desk> mDesks = new HashMap<>();

    OrderDesk(
            Vertx vertx,
            Context context,
            Store store,
            Membership membership,
            LongSupplier clockMs) {
        mContext = context;
        mStore = store;
        mMembership = membership;
        mClockMs = clockMs;
        mClient =
                vertx.createHttpClient(
                        new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
    }

    /** Does what is due for all services that take orders. */
    void tick(Configuration configuration) {
        for (Service service : configuration.all(Service.class)) {
            if (service.takesOrders()) {
                tick(service, configuration);
            } else if (mDesks.containsKey(service.id())) {
                mDesks.remove(service.id()).mKeeper.release();
            }
        }
    }

    private void tick(Service service, Configuration configuration) {
        Desk desk = mDesks.computeIfAbsent(service.id(), Desk::new);
        desk.mKeeper.tick(isGiver(service));
        desk.mKeeper.lease().ifPresent(lease -> desk.mGiver.tick(service, configuration, lease));
    }

    private boolean isGiver(Service service) {
        Member self = mMembership.self();
        return Rendezvous.first(
                        "orders/" + self.region() + "/" + service.id(),
                        mMembership.workingIn(self.region()),
                        member -> member.id().value())
                .map(first -> first.id().equals(self.id()))
                .orElse(false);
    }

    /** Gives all leases up before the instance stops. */
    void releaseAll() {
        mDesks.values().forEach(desk -> desk.mKeeper.release());
        mDesks.clear();
    }

    /** Returns the state of the services that this instance gives orders to, for the dump. */
    List<OrderState> state() {
        List<OrderState> states = new ArrayList<>();
        mDesks.forEach(
                (service, desk) ->
                        desk.mKeeper
                                .lease()
                                .ifPresent(lease -> states.add(desk.state(service, lease))));
        return states;
    }

    /**
     * Shows the orders of one service.
     *
     * @param service the service
     * @param fence the fencing number of this giver
     * @param engines what the engines report
     */
    public record OrderState(ServiceId service, long fence, List<EngineState> engines) {}

    /**
     * Shows one engine.
     *
     * @param endpoint the endpoint
     * @param report its newest report
     */
    public record EngineState(EndpointId endpoint, EngineReport report) {}

    /** Holds the lease and the giver of one service. */
    private final class Desk {

        private final OrderGiver mGiver;
        private final OrderLeaseKeeper mKeeper;

        Desk(ServiceId service) {
            Member self = mMembership.self();
            mGiver = new OrderGiver(mClient, self.region(), mClockMs);
            mKeeper =
                    new OrderLeaseKeeper(
                            mContext,
                            mStore,
                            self.region(),
                            service,
                            self.id(),
                            mClockMs,
                            mGiver::leaseAcquired);
        }

        OrderState state(ServiceId service, OrderLease lease) {
            List<EngineState> engines = new ArrayList<>();
            Map<EndpointId, EngineReport> reports = mGiver.reports();
            reports.keySet().stream()
                    .sorted()
                    .forEach(id -> engines.add(new EngineState(id, reports.get(id))));
            return new OrderState(service, lease.fence(), engines);
        }
    }
}
