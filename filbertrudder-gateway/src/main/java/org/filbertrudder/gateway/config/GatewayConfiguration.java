package org.filbertrudder.gateway.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.KeyId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;

/** Holds one version of the operators' configuration with the indexes that requests need. */
public final class GatewayConfiguration {

    private final long mVersion;
    private final List<RouteRule> mAllRoutes;
    private final Map<String, Map<String, RouteRule>> mRoutes = new HashMap<>();
    private final Map<ServiceId, ServiceRule> mServices = new HashMap<>();
    private final Map<AccountId, AccountRule> mAccounts = new HashMap<>();
    private final Map<String, AccountId> mKeys;
    private final Map<KeyId, AccountId> mKeyDigests = new HashMap<>();
    private final CallerLimits mLimits;

    /**
     * Creates a configuration.
     *
     * @param version grows with each change
     * @param routes the routes; of two with the same host and prefix the first counts
     * @param services the services
     * @param accounts the client accounts
     * @param keys the account of each key
     * @param limits what callers may send
     */
    public GatewayConfiguration(
            long version,
            List<RouteRule> routes,
            List<ServiceRule> services,
            List<AccountRule> accounts,
            Map<String, AccountId> keys,
            CallerLimits limits) {
        mVersion = version;
        mAllRoutes = List.copyOf(routes);
        routes.forEach(
                route ->
                        mRoutes.computeIfAbsent(route.host(), host -> new HashMap<>())
                                .putIfAbsent(route.pathPrefix(), route));
        services.forEach(service -> mServices.put(service.id(), service));
        accounts.forEach(account -> mAccounts.put(account.id(), account));
        mKeys = Map.copyOf(keys);
        mKeys.forEach((key, account) -> mKeyDigests.put(KeyDigests.of(key), account));
        mLimits = limits;
    }

    /** Returns the version. */
    public long version() {
        return mVersion;
    }

    /** Returns the limits on what callers may send. */
    public CallerLimits limits() {
        return mLimits;
    }

    /** Returns the route with the longest prefix of the path. */
    public Optional<RouteRule> route(String host, String path) {
        Map<String, RouteRule> prefixes = mRoutes.get(host);
        if (prefixes == null) {
            return Optional.empty();
        }
        int end = path.lastIndexOf('/');
        while (end >= 0) {
            RouteRule route = prefixes.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
            end = end == 0 ? -1 : path.lastIndexOf('/', end - 1);
        }
        return Optional.empty();
    }

    /**
     * Returns the regions that suit the routes of a host; empty means any region.
     *
     * <p>These are the homes that all its routes with homes have in common, or if there are none,
     * the homes of any of them.
     */
    public Set<RegionId> homesOf(String host) {
        Set<RegionId> common = null;
        Set<RegionId> any = new TreeSet<>();
        for (RouteRule route : mRoutes.getOrDefault(host, Map.of()).values()) {
            if (route.homes().isEmpty()) {
                continue;
            }
            any.addAll(route.homes());
            if (common == null) {
                common = new TreeSet<>(route.homes());
            } else {
                common.retainAll(route.homes());
            }
        }
        return common == null || common.isEmpty() ? any : common;
    }

    /** Returns the service with the id. */
    public Optional<ServiceRule> service(ServiceId id) {
        return Optional.ofNullable(mServices.get(id));
    }

    /** Returns all services. */
    public Collection<ServiceRule> services() {
        return mServices.values();
    }

    /** Returns the client account with the id. */
    public Optional<AccountRule> account(AccountId id) {
        return Optional.ofNullable(mAccounts.get(id));
    }

    /** Returns all client accounts. */
    public Collection<AccountRule> accounts() {
        return mAccounts.values();
    }

    /** Returns the account that holds the key. */
    public Optional<AccountRule> accountOfKey(String key) {
        return Optional.ofNullable(mKeys.get(key)).map(mAccounts::get);
    }

    /** Returns the account that holds the key of the digest. */
    public Optional<AccountRule> accountOfKeyDigest(KeyId digest) {
        return Optional.ofNullable(mKeyDigests.get(digest)).map(mAccounts::get);
    }

    /** Returns whether keys are needed at all. */
    public boolean hasAccounts() {
        return !mAccounts.isEmpty();
    }

    /** Returns all routes as the operators wrote them. */
    public List<RouteRule> routes() {
        return mAllRoutes;
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return mRoutes.values().stream().mapToInt(Map::size).sum();
    }
}
