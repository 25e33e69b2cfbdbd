package org.filbertrudder.scenarios.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.filbertrudder.gateway.BoundSettings;
import org.filbertrudder.gateway.Gateway;
import org.filbertrudder.gateway.GatewaySettings;
import org.filbertrudder.gateway.traffic.HttpProtocol;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.Json;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.platform.PlatformProtocol;
import org.filbertrudder.platform.PlatformStateSource;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.standins.platform.EndlessResponseReplicaStandIn;
import org.filbertrudder.standins.platform.KvStoreStandIn;
import org.filbertrudder.standins.platform.ReplicaStandIn;

/** Runs gateway instances with stand-ins for the replicas and the store in the current process. */
public final class PlatformFleet implements AutoCloseable {

    /** The host of all routes. */
    public static final String HOST = "clubs.example";

    /** The name of the service that runs models. */
    public static final String MODEL_SERVICE = "pool";

    /** The name of the service that accepts bookings. */
    public static final String BOOKING_SERVICE = "desk";

    /** The requests per second that a cold replica of the model service can take. */
    public static final double WARMUP_PER_SECOND = 2.0;

    private static final long MAX_KEY_WITHDRAWAL_MS = 5_000;
    private static final long CONFIGURATION_MS = 5_000;
    private static final long ENDPOINT_LEAVE_MS = 4_000;
    private static final long ENDPOINT_HEARTBEAT_MS = 1_200;
    private static final long SHUTDOWN_GRACE_MS = 8_000;
    private static final long AWAIT_TIMEOUT_MS = 20_000;
    private static final int PORTS_PER_INSTANCE = 6;
    private static final int ENDLESS_REPLICA_SLOTS = 16;

    private final Vertx mVertx = Vertx.vertx();
    private final KvStoreStandIn mStore = new KvStoreStandIn(mVertx, "127.0.0.1");
    private final int mStorePort = mStore.start();
    private final Map<String, Gateway> mGateways = new TreeMap<>();
    private final Map<String, GatewaySettings> mSettings = new TreeMap<>();
    private final Map<String, ReplicaStandIn> mReplicas = new TreeMap<>();
    private final Map<FailureDomainId, RegionId> mRegionByDomain;
    private final Map<String, String> mAccountByApiKey = new HashMap<>();
    private final Set<String> mAddedRoutes = new ConcurrentSkipListSet<>();
    private final Set<String> mDividedRoutes = new ConcurrentSkipListSet<>();
    private final Map<String, LinkProxy> mStoreProxies = new TreeMap<>();
    private Map<String, List<String>> mHomesByPublicRoute = Map.of();
    private List<String> mAccountHomes = List.of("sag");
    private boolean mLimitsUnreadBytes;
    private double mRatePerSecond;
    private long mRouteTimeoutMs = 4_000;
    private long mIdleTimeoutMs = 15_000;
    private long mMaxBodyBytes = 65_536;
    private long mMaxHeaderBytes = 16_384;
    private long mHeaderTimeoutMs = 3_000;
    private long mConfigurationVersion;

    /** Starts a store for regions with one failure domain each; starts no replica or instance. */
    public PlatformFleet(String... regions) {
        Map<FailureDomainId, RegionId> regionByDomain = new HashMap<>();
        for (String region : regions) {
            regionByDomain.put(FailureDomainId.of(region + "-a"), RegionId.of(region));
        }
        mRegionByDomain = Map.copyOf(regionByDomain);
        mAccountByApiKey.put("key-club", "club");
        mAccountByApiKey.put("key-other", "other");
        mAccountByApiKey.put("key-home", "home");
    }

    /** Returns the store. */
    public KvStoreStandIn store() {
        return mStore;
    }

    /** Returns the port of the store on the loopback address. */
    public int storePort() {
        return mStorePort;
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

    /**
     * Returns the names of the client accounts by API key. Changes to the map take effect with the
     * next version of the configuration.
     */
    public Map<String, String> accountByApiKey() {
        return mAccountByApiKey;
    }

    /**
     * Returns the path prefixes of further routes to the booking service that may be repeated.
     * Changes to the set take effect with the next version of the configuration.
     */
    public Set<String> addedRoutes() {
        return mAddedRoutes;
    }

    /**
     * Returns the path prefixes of further routes whose requests are divided equally between the
     * model service and the booking service. Changes to the set take effect with the next version
     * of the configuration.
     */
    public Set<String> dividedRoutes() {
        return mDividedRoutes;
    }

    /**
     * Sets the path prefixes of further public routes to the booking service, with their home
     * regions, in the next written configuration.
     */
    public void setHomesByPublicRoute(Map<String, List<String>> homesByPublicRoute) {
        mHomesByPublicRoute = Map.copyOf(homesByPublicRoute);
    }

    /** Sets the home regions of the account "home" in the next written configuration. */
    public void setAccountHomes(List<String> accountHomes) {
        mAccountHomes = List.copyOf(accountHomes);
    }

    /** Sets the token rate and burst of each account from the next configuration version on. */
    public void setRatePerSecond(double ratePerSecond) {
        mRatePerSecond = ratePerSecond;
    }

    /** Sets the maximum size of a request body in the next written configuration, in bytes. */
    public void setMaxBodyBytes(long maxBodyBytes) {
        mMaxBodyBytes = maxBodyBytes;
    }

    /** Sets the maximum size of a request head in the next written configuration, in bytes. */
    public void setMaxHeaderBytes(long maxHeaderBytes) {
        mMaxHeaderBytes = maxHeaderBytes;
    }

    /** Sets the time limit of a request head in the next written configuration. */
    public void setHeaderTimeoutMs(long headerTimeoutMs) {
        mHeaderTimeoutMs = headerTimeoutMs;
    }

    /** Sets the timeout of all routes from the next configuration version on. */
    public void setRouteTimeoutMs(long routeTimeoutMs) {
        mRouteTimeoutMs = routeTimeoutMs;
    }

    /** Sets the idle limit of callers' connections from the next configuration version on. */
    public void setIdleTimeoutMs(long idleTimeoutMs) {
        mIdleTimeoutMs = idleTimeoutMs;
    }

    /**
     * Tells the instances started from now on that replicas cut off unread responses, which also
     * lets them schedule the starts of all prompts.
     */
    public void setLimitsUnreadBytes() {
        mLimitsUnreadBytes = true;
    }

    /** Starts a replica. */
    public ReplicaStandIn startReplica(String id, String service, String region, int slots) {
        ReplicaStandIn replica =
                new ReplicaStandIn(mVertx, mStore, id, service, region + "-a", "127.0.0.1", slots);
        mReplicas.put(id, replica.start(FreePorts.find(1).get(0)));
        return replica;
    }

    /** Starts a replica whose responses never end. */
    public EndlessResponseReplicaStandIn startEndlessReplica(
            String id, String service, String region, EndlessResponseReplicaStandIn.Shape shape) {
        return new EndlessResponseReplicaStandIn(mVertx, shape)
                .start(mStore, id, service, region + "-a", ENDLESS_REPLICA_SLOTS);
    }

    /** Starts an instance in a region and waits until it is ready. */
    public void startGateway(String id, String region) {
        startGateway(id, region, new PlatformProtocol());
    }

    /**
     * Starts an instance as {@link #startGateway(String, String)} and returns the proxy that all
     * its calls of the store pass.
     */
    public LinkProxy startGatewayBehindStoreProxy(String id, String region) {
        PeerAddress address = address(FreePorts.find(1).get(0));
        LinkProxy proxy = new LinkProxy(mVertx, address, address(mStorePort));
        mStoreProxies.put(id, proxy);
        startGateway(id, region);
        return proxy;
    }

    /** Starts an instance as {@link #startGateway(String, String)}, with a protocol of its own. */
    public void startGateway(String id, String region, HttpProtocol protocol) {
        List<Integer> ports = FreePorts.find(PORTS_PER_INSTANCE);
        List<PeerAddress> seeds =
                mSettings.values().stream().map(GatewaySettings::peerAddress).toList();
        GatewaySettings settings =
                new GatewaySettings(
                        InstanceId.of(id),
                        FailureDomainId.of(region + "-a"),
                        mRegionByDomain,
                        address(ports.get(0)),
                        address(ports.get(1)),
                        address(ports.get(2)),
                        address(ports.get(3)),
                        ports.get(4),
                        ports.get(5),
                        mStoreProxies.containsKey(id)
                                ? mStoreProxies.get(id).address()
                                : address(mStorePort),
                        seeds,
                        new BoundSettings(
                                MAX_KEY_WITHDRAWAL_MS,
                                CONFIGURATION_MS,
                                ENDPOINT_LEAVE_MS,
                                ENDPOINT_HEARTBEAT_MS,
                                SHUTDOWN_GRACE_MS,
                                0.2,
                                50),
                        Member.STANDARD_STRENGTH,
                        mLimitsUnreadBytes);
        mSettings.put(id, settings);
        mGateways.put(
                id,
                Gateway.start(settings, vertx -> new PlatformStateSource(vertx, settings), protocol)
                        .join());
        PlatformClient readiness = new PlatformClient(settings.readinessAddress());
        await("instance " + id + " is ready", () -> readiness.get("/readyz").status() == 200);
    }

    private static PeerAddress address(int port) {
        return new PeerAddress("127.0.0.1", port);
    }

    /** Returns a client for the caller port of an instance. */
    public PlatformClient callerClient(String gateway) {
        return new PlatformClient(mSettings.get(gateway).callerAddress());
    }

    /** Returns a client for the directory of an instance. */
    public PlatformClient directoryClient(String gateway) {
        return new PlatformClient(mSettings.get(gateway).directoryAddress());
    }

    /** Returns a client for the readiness checks of an instance. */
    public PlatformClient readinessClient(String gateway) {
        return new PlatformClient(mSettings.get(gateway).readinessAddress());
    }

    /** Returns the metrics page of an instance. */
    public String metrics(String gateway) {
        return operatorClient(gateway).get("/metrics").body();
    }

    /** Returns the state dump of an instance. */
    public String dump(String gateway) {
        return operatorClient(gateway).get("/dump").body();
    }

    /** Returns the page of an instance that lists the blocked prompt parts. */
    public String blockedParts(String gateway) {
        return operatorClient(gateway).get("/blocked-parts").body();
    }

    /** Allows a blocked prompt part at an instance and returns the status of the response. */
    public int allowPart(String gateway, String part) {
        return operatorClient(gateway).delete("/blocked-parts/" + part).status();
    }

    private PlatformClient operatorClient(String gateway) {
        return new PlatformClient(address(mSettings.get(gateway).metricsPort()));
    }

    /** Shuts down an instance gracefully, as SIGTERM would; completes when it has stopped. */
    public CompletableFuture<Void> stopGateway(String id) {
        Gateway gateway = mGateways.remove(id);
        return gateway.shutDown().thenCompose(ignored -> gateway.close());
    }

    /** Shuts down an instance as {@link #stopGateway}, without the close of its resources. */
    public CompletableFuture<Void> shutDownGateway(String id) {
        return mGateways.get(id).shutDown();
    }

    /**
     * Writes the next version of the configuration to the store, with or without the booking route,
     * and returns the version.
     */
    public long writeConfiguration(boolean withBookingRoute) {
        ObjectNode root = Json.MAPPER.createObjectNode().put("version", ++mConfigurationVersion);
        ArrayNode routes = root.putArray("routes");
        addRoute(routes, "/chat/", "stream", MODEL_SERVICE, false)
                .put("resumable", false)
                .put("attempts", 1);
        addRoute(routes, "/digest/", "stream", MODEL_SERVICE, false).put("resumable", true);
        addRoute(routes, "/label/", "stream", MODEL_SERVICE, false)
                .put("resumable", true)
                .putArray("homeRegions")
                .add("mtl");
        addRoute(routes, "/stock/", "safe", BOOKING_SERVICE, false);
        addRoute(routes, "/open/", "safe", BOOKING_SERVICE, true);
        mAddedRoutes.forEach(prefix -> addRoute(routes, prefix, "safe", BOOKING_SERVICE, false));
        mHomesByPublicRoute.forEach(
                (prefix, homes) -> {
                    ObjectNode route = addRoute(routes, prefix, "safe", BOOKING_SERVICE, true);
                    addHomes(route, homes);
                });
        for (String prefix : mDividedRoutes) {
            ArrayNode backends =
                    addRoute(routes, prefix, "safe", BOOKING_SERVICE, false).putArray("backends");
            backends.addObject().put("service", MODEL_SERVICE).put("weight", 1);
            backends.addObject().put("service", BOOKING_SERVICE).put("weight", 1);
        }
        if (withBookingRoute) {
            addRoute(routes, "/book/", "unsafe", BOOKING_SERVICE, false).put("attempts", 1);
        }
        ArrayNode services = root.putArray("services");
        services.addObject()
                .put("name", MODEL_SERVICE)
                .put("healthPath", "/healthz")
                .put("maxConns", 100)
                .put("warmupS", 3.0)
                .put("warmupPerS", WARMUP_PER_SECOND)
                .putObject("engine")
                .put("slots", 64)
                .put("kvCapacity", 400_000);
        services.addObject()
                .put("name", BOOKING_SERVICE)
                .put("healthPath", "/healthz")
                .put("maxConns", 100);
        root.putObject("limits")
                .put("maxHeaderBytes", mMaxHeaderBytes)
                .put("maxBodyBytes", mMaxBodyBytes)
                .put("headerTimeoutMs", mHeaderTimeoutMs)
                .put("idleTimeoutMs", mIdleTimeoutMs);
        ArrayNode accounts = root.putArray("tenants");
        mAccountByApiKey.values().stream()
                .distinct()
                .sorted()
                .forEach(name -> addAccount(accounts, name));
        mStore.put("op/config", root.toString());
        return mConfigurationVersion;
    }

    private ObjectNode addRoute(
            ArrayNode routes, String prefix, String type, String service, boolean publicAccess) {
        return routes.addObject()
                .put("name", "r" + prefix)
                .put("host", HOST)
                .put("pathPrefix", prefix)
                .put("type", type)
                .put("timeoutMs", mRouteTimeoutMs)
                .put("goalMs", 500)
                .put("gapTargetMs", 100)
                .put("priority", 1)
                .put("service", service)
                .put("attempts", 2)
                .put("public", publicAccess);
    }

    private void addAccount(ArrayNode accounts, String name) {
        ObjectNode account = accounts.addObject().put("name", name).put("unit", "tokens");
        account.put("plainTokens", 10);
        if (name.equals("home")) {
            addHomes(account, mAccountHomes);
        }
        account.put("ratePerS", mRatePerSecond).put("burst", mRatePerSecond);
        ArrayNode keys = account.putArray("apiKeys");
        mAccountByApiKey.forEach(
                (key, owner) -> {
                    if (owner.equals(name)) {
                        keys.add(key);
                    }
                });
    }

    private static void addHomes(ObjectNode owner, List<String> homes) {
        homes.forEach(owner.putArray("homeRegions")::add);
    }

    /** Returns the addresses that a directory names to the callers of the given regions. */
    public static Set<String> listedInstances(
            PlatformClient directory, Collection<String> regions) {
        Set<String> addresses = new TreeSet<>();
        for (String region : regions) {
            PlatformClient.Response response =
                    directory.get("/resolve?name=" + HOST + "&region=" + region + "&zone=none");
            if (response.status() == 200) {
                Json.read(response.body(), JsonNode.class)
                        .path("addrs")
                        .forEach(each -> addresses.add(each.asText()));
            }
        }
        return addresses;
    }

    /** Waits until a condition is true; fails after 20 s. */
    public static void await(String description, BooleanSupplier condition) {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_TIMEOUT_MS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNs) {
                throw new AssertionError("Timed out waiting until " + description + ".");
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
        mStoreProxies.values().forEach(LinkProxy::close);
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
