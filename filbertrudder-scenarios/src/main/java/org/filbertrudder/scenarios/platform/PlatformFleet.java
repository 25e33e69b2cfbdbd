package org.filbertrudder.scenarios.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.filbertrudder.gateway.BoundSettings;
import org.filbertrudder.gateway.Gateway;
import org.filbertrudder.gateway.GatewaySettings;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.Json;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.platform.PlatformProtocol;
import org.filbertrudder.platform.PlatformStateSource;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.standins.platform.EndlessReplicaStandIn;
import org.filbertrudder.standins.platform.KvStoreStandIn;
import org.filbertrudder.standins.platform.ReplicaStandIn;

/** Runs gateway instances, replicas and a store in one process; closes them together. */
public final class PlatformFleet implements AutoCloseable {

    /** Names the host of all routes. */
    public static final String HOST = "clubs.example";

    /** Names the service that runs models. */
    public static final String POOL = "pool";

    /** Names the service that takes bookings. */
    public static final String DESK = "desk";

    private static final long KEY_WITHDRAWAL_MS = 5_000;
    private static final long GRACE_MS = 8_000;
    private static final long READY_TIMEOUT_MS = 20_000;
    private static final int PORTS = 6;
    private static final int ENDLESS_SLOTS = 16;

    private final Vertx mVertx = Vertx.vertx();
    private final KvStoreStandIn mStore = new KvStoreStandIn(mVertx, "127.0.0.1");
    private final int mStorePort = mStore.start();
    private final Map<String, Gateway> mGateways = new TreeMap<>();
    private final Map<String, GatewaySettings> mSettings = new TreeMap<>();
    private final Map<String, ReplicaStandIn> mReplicas = new TreeMap<>();
    private final Map<FailureDomainId, RegionId> mDomains;
    private final Map<String, String> mKeys = new HashMap<>();
    private double mRatePerSecond;
    private long mVersion;

    /** Creates a store for regions of one failure domain each; nothing else runs yet. */
    public PlatformFleet(String... regions) {
        Map<FailureDomainId, RegionId> domains = new HashMap<>();
        for (String region : regions) {
            domains.put(FailureDomainId.of(region + "-a"), RegionId.of(region));
        }
        mDomains = Map.copyOf(domains);
        mKeys.put("key-club", "club");
        mKeys.put("key-other", "other");
        mKeys.put("key-home", "home");
    }

    /** Returns the store. */
    public KvStoreStandIn store() {
        return mStore;
    }

    /** Returns a replica by its id. */
    public ReplicaStandIn replica(String id) {
        return mReplicas.get(id);
    }

    /** Returns all replicas. */
    public List<ReplicaStandIn> replicas() {
        return List.copyOf(mReplicas.values());
    }

    /** Returns the settings of an instance. */
    public GatewaySettings settings(String id) {
        return mSettings.get(id);
    }

    /** Returns the keys of the client accounts, by key; changes count from the next version on. */
    public Map<String, String> keys() {
        return mKeys;
    }

    /** Limits each account to a number of tokens a second from the next version on. */
    public void setRatePerSecond(double ratePerSecond) {
        mRatePerSecond = ratePerSecond;
    }

    /** Starts a replica. */
    public ReplicaStandIn startReplica(String id, String service, String region, int slots) {
        ReplicaStandIn replica =
                new ReplicaStandIn(mVertx, mStore, id, service, region + "-a", "127.0.0.1", slots);
        mReplicas.put(id, replica.start());
        return replica;
    }

    /** Starts a replica that answers with bytes without end. */
    public EndlessReplicaStandIn startEndlessReplica(
            String id, String service, String region, EndlessReplicaStandIn.Shape shape) {
        return new EndlessReplicaStandIn(mVertx, shape)
                .start(mStore, id, service, region + "-a", ENDLESS_SLOTS);
    }

    /** Starts an instance in a region and waits until it is ready. */
    public void startGateway(String id, String region) {
        List<Integer> ports = freePorts();
        List<PeerAddress> seeds = mSettings.values().stream().map(GatewaySettings::peers).toList();
        GatewaySettings settings =
                new GatewaySettings(
                        InstanceId.of(id),
                        FailureDomainId.of(region + "-a"),
                        mDomains,
                        address(ports.get(0)),
                        address(ports.get(1)),
                        address(ports.get(2)),
                        address(ports.get(3)),
                        ports.get(4),
                        ports.get(5),
                        address(mStorePort),
                        seeds,
                        new BoundSettings(KEY_WITHDRAWAL_MS, GRACE_MS, 0.2, 50),
                        Member.STANDARD_STRENGTH);
        mSettings.put(id, settings);
        mGateways.put(
                id,
                Gateway.start(
                                settings,
                                vertx -> new PlatformStateSource(vertx, settings),
                                new PlatformProtocol())
                        .join());
        PlatformCaller caller = new PlatformCaller(settings.readiness());
        await("instance " + id + " is ready", () -> caller.get("/readyz").status() == 200);
    }

    private static PeerAddress address(int port) {
        return new PeerAddress("127.0.0.1", port);
    }

    private static List<Integer> freePorts() {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < PORTS; i++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
            }
            List<Integer> ports = sockets.stream().map(ServerSocket::getLocalPort).toList();
            for (ServerSocket socket : sockets) {
                socket.close();
            }
            return ports;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns a caller of an instance. */
    public PlatformCaller caller(String gateway) {
        return new PlatformCaller(mSettings.get(gateway).callers());
    }

    /** Returns a client of an instance's directory. */
    public PlatformCaller directory(String gateway) {
        return new PlatformCaller(mSettings.get(gateway).directory());
    }

    /** Returns a client of an instance's readiness checks. */
    public PlatformCaller readiness(String gateway) {
        return new PlatformCaller(mSettings.get(gateway).readiness());
    }

    /** Returns the metrics of an instance. */
    public String metrics(String gateway) {
        return new PlatformCaller(address(mSettings.get(gateway).metricsPort()))
                .get("/metrics")
                .body();
    }

    /** Stops an instance as a signal would; completes when it has stopped. */
    public java.util.concurrent.CompletableFuture<Void> stopGateway(String id) {
        Gateway gateway = mGateways.remove(id);
        return gateway.shutDown().thenCompose(done -> gateway.close());
    }

    /** Writes the next version of the configuration; the booking route may be left out. */
    public void configure(boolean withBookings) {
        ObjectNode root = Json.MAPPER.createObjectNode().put("version", ++mVersion);
        ArrayNode routes = root.putArray("routes");
        route(routes, "/chat/", "stream", POOL, false).put("resumable", false).put("attempts", 1);
        route(routes, "/digest/", "stream", POOL, false).put("resumable", true);
        route(routes, "/label/", "stream", POOL, false)
                .put("resumable", true)
                .putArray("homeRegions")
                .add("mtl");
        route(routes, "/stock/", "safe", DESK, false);
        route(routes, "/open/", "safe", DESK, true);
        if (withBookings) {
            route(routes, "/book/", "unsafe", DESK, false).put("attempts", 1);
        }
        ArrayNode services = root.putArray("services");
        services.addObject()
                .put("name", POOL)
                .put("healthPath", "/healthz")
                .put("maxConns", 100)
                .put("warmupS", 3.0)
                .put("warmupPerS", 2.0)
                .putObject("engine")
                .put("slots", 64)
                .put("kvCapacity", 400_000);
        services.addObject().put("name", DESK).put("healthPath", "/healthz").put("maxConns", 100);
        root.putObject("limits")
                .put("maxHeaderBytes", 16_384)
                .put("maxBodyBytes", 65_536)
                .put("headerTimeoutMs", 3_000)
                .put("idleTimeoutMs", 15_000);
        ArrayNode accounts = root.putArray("tenants");
        mKeys.values().stream().distinct().sorted().forEach(name -> account(accounts, name));
        mStore.put("op/config", root.toString());
    }

    private static ObjectNode route(
            ArrayNode routes, String prefix, String type, String service, boolean open) {
        return routes.addObject()
                .put("name", "r" + prefix)
                .put("host", HOST)
                .put("pathPrefix", prefix)
                .put("type", type)
                .put("timeoutMs", 4_000)
                .put("goalMs", 500)
                .put("gapTargetMs", 100)
                .put("priority", 1)
                .put("service", service)
                .put("attempts", 2)
                .put("public", open);
    }

    private void account(ArrayNode accounts, String name) {
        ObjectNode account = accounts.addObject().put("name", name).put("unit", "tokens");
        account.put("plainTokens", 10);
        if (name.equals("home")) {
            account.putArray("homeRegions").add("sag");
        }
        account.put("ratePerS", mRatePerSecond).put("burst", mRatePerSecond);
        ArrayNode keys = account.putArray("apiKeys");
        mKeys.forEach(
                (key, owner) -> {
                    if (owner.equals(name)) {
                        keys.add(key);
                    }
                });
    }

    /** Waits until a condition holds; fails if it does not within 20 s. */
    public static void await(String what, BooleanSupplier condition) {
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > untilNs) {
                throw new AssertionError("It did not come about in time that " + what + ".");
            }
            try {
                TimeUnit.MILLISECONDS.sleep(20);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(e);
            }
        }
    }

    @Override
    public void close() {
        mGateways.values().forEach(gateway -> gateway.close().join());
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
