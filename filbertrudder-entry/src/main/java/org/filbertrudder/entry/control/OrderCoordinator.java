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
import org.filbertrudder.policy.RendezvousHashing;
import org.filbertrudder.policy.membership.Membership;
import org.filbertrudder.policy.orders.EngineReport;
import org.filbertrudder.policy.orders.OrderLease;
import org.filbertrudder.store.WatchableStore;

/** Assigns each service to one instance of a region, which sends the orders to its engines. */
final class OrderCoordinator {

    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final Context mContext;
    private final WatchableStore mStore;
    private final Membership mMembership;
    private final LongSupplier mClockMs;
    private final Vertx mVertx;
    private final HttpClient mHttpClient;
    private final Map<ServiceId, ServiceOrders> mServiceOrders = new HashMap<>();

    OrderCoordinator(
            Vertx vertx,
            Context context,
            WatchableStore store,
            Membership membership,
            LongSupplier clockMs) {
        mVertx = vertx;
        mContext = context;
        mStore = store;
        mMembership = membership;
        mClockMs = clockMs;
        mHttpClient =
                vertx.createHttpClient(
                        new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS));
    }

    /**
     * Maintains the leases and sends due orders for all services whose model version is managed.
     */
    void tick(Configuration configuration) {
        for (Service service : configuration.all(Service.class)) {
            if (service.managesModelVersion()) {
                tick(service, configuration);
            } else if (mServiceOrders.containsKey(service.id())) {
                mServiceOrders.remove(service.id()).mLeaseManager.release();
            }
        }
    }

    private void tick(Service service, Configuration configuration) {
        ServiceOrders serviceOrders =
                mServiceOrders.computeIfAbsent(service.id(), ServiceOrders::new);
        serviceOrders.mLeaseManager.tick(isPreferredSender(service));
        serviceOrders
                .mLeaseManager
                .lease()
                .ifPresent(lease -> serviceOrders.mReconciler.tick(service, configuration, lease));
    }

    private boolean isPreferredSender(Service service) {
        Member self = mMembership.self();
        return RendezvousHashing.first(
                        "orders/" + self.region() + "/" + service.id(),
                        mMembership.membersAcceptingWorkIn(self.region()),
                        member -> member.id().value())
                .map(preferred -> preferred.id().equals(self.id()))
                .orElse(false);
    }

    /** Releases all leases before the instance stops. */
    void releaseAll() {
        mServiceOrders.values().forEach(serviceOrders -> serviceOrders.mLeaseManager.release());
        mServiceOrders.clear();
    }

    /** Returns the state of the services whose leases this instance holds, for the state dump. */
    List<OrderState> state() {
        List<OrderState> states = new ArrayList<>();
        mServiceOrders.forEach(
                (service, serviceOrders) ->
                        serviceOrders
                                .mLeaseManager
                                .lease()
                                .ifPresent(
                                        lease -> states.add(serviceOrders.state(service, lease))));
        return states;
    }

    /**
     * Represents one service to whose engines this instance sends orders.
     *
     * @param service the service
     * @param fence the fencing token of the lease
     * @param engines the newest reports of the engines
     */
    public record OrderState(ServiceId service, long fence, List<EngineState> engines) {}

    /**
     * Represents the engine at one endpoint.
     *
     * @param endpoint the endpoint
     * @param report the engine's newest report
     */
    public record EngineState(EndpointId endpoint, EngineReport report) {}

    /** Holds the lease and the reconciler of one service. */
    private final class ServiceOrders {

        private final EngineReconciler mReconciler;
        private final OrderLeaseManager mLeaseManager;

        ServiceOrders(ServiceId service) {
            Member self = mMembership.self();
            mReconciler = new EngineReconciler(mVertx, mHttpClient, self.region(), mClockMs);
            mLeaseManager =
                    new OrderLeaseManager(
                            mContext,
                            mStore,
                            self.region(),
                            service,
                            self.id(),
                            mClockMs,
                            mReconciler::resetForLease);
        }

        OrderState state(ServiceId service, OrderLease lease) {
            List<EngineState> engines = new ArrayList<>();
            Map<EndpointId, EngineReport> reports = mReconciler.reports();
            reports.keySet().stream()
                    .sorted()
                    .forEach(id -> engines.add(new EngineState(id, reports.get(id))));
            return new OrderState(service, lease.fence(), engines);
        }
    }
}
