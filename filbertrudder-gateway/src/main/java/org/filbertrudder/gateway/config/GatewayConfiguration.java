package org.filbertrudder.gateway.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.AllowedRegions;
import org.filbertrudder.model.KeyId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;

/** Holds one version of the operators' configuration, indexed for lookups per request. */
public final class GatewayConfiguration {

    private final long mVersion;
    private final List<RouteRule> mRoutes;
    private final Map<String, Map<String, RouteRule>> mRoutesByHost = new HashMap<>();
    private final Map<ServiceId, ServiceRule> mServices = new HashMap<>();
    private final Map<AccountId, AccountRule> mAccounts = new HashMap<>();
    private final Map<String, AccountId> mAccountsByKey;
    private final Map<KeyId, AccountId> mAccountsByKeyDigest = new HashMap<>();
    private final CallerLimits mLimits;

    /**
     * Creates a configuration.
     *
     * @param version the version number, which grows with each change
     * @param routes the routes; of two with the same host and prefix the first one is used
     * @param services the services
     * @param accounts the client accounts
     * @param keys the account of each API key
     * @param limits the limits on requests and connections of callers
     */
    public GatewayConfiguration(
            long version,
            List<RouteRule> routes,
            List<ServiceRule> services,
            List<AccountRule> accounts,
            Map<String, AccountId> keys,
            CallerLimits limits) {
        mVersion = version;
        mRoutes = List.copyOf(routes);
        routes.forEach(
                route ->
                        mRoutesByHost
                                .computeIfAbsent(route.host(), host -> new HashMap<>())
                                .putIfAbsent(route.pathPrefix(), route));
        services.forEach(service -> mServices.put(service.id(), service));
        accounts.forEach(account -> mAccounts.put(account.id(), account));
        mAccountsByKey = Map.copyOf(keys);
        mAccountsByKey.forEach(
                (key, account) -> mAccountsByKeyDigest.put(KeyDigests.of(key), account));
        mLimits = limits;
    }

    /** Returns the version number of the configuration. */
    public long version() {
        return mVersion;
    }

    /** Returns the limits on requests and connections of callers. */
    public CallerLimits limits() {
        return mLimits;
    }

    /** Returns the route of the host with the longest prefix of the path. */
    public Optional<RouteRule> route(String host, String path) {
        Map<String, RouteRule> routesByPrefix = mRoutesByHost.get(host);
        if (routesByPrefix == null) {
            return Optional.empty();
        }
        int end = path.lastIndexOf('/');
        while (end >= 0) {
            RouteRule route = routesByPrefix.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
            end = end == 0 ? -1 : path.lastIndexOf('/', end - 1);
        }
        return Optional.empty();
    }

    /**
     * Returns the regions to which callers of a host are sent; empty if the host has no route.
     *
     * <p>These are the regions that all routes of the host allow, or if there are none in common,
     * the regions that any of its restricted routes allows.
     */
    public Optional<AllowedRegions> allowedRegionsOf(String host) {
        Map<String, RouteRule> routes = mRoutesByHost.get(host);
        if (routes == null) {
            return Optional.empty();
        }
        AllowedRegions commonRegions = AllowedRegions.any();
        Set<RegionId> listedRegions = new HashSet<>();
        for (RouteRule route : routes.values()) {
            commonRegions = commonRegions.and(route.allowedRegions());
            listedRegions.addAll(route.allowedRegions().listed());
        }
        return Optional.of(
                commonRegions.allowsNone() ? AllowedRegions.only(listedRegions) : commonRegions);
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

    /** Returns the client account of the API key. */
    public Optional<AccountRule> accountOfKey(String key) {
        return Optional.ofNullable(mAccountsByKey.get(key)).map(mAccounts::get);
    }

    /** Returns the client account of the API key with the digest. */
    public Optional<AccountRule> accountOfKeyDigest(KeyId digest) {
        return Optional.ofNullable(mAccountsByKeyDigest.get(digest)).map(mAccounts::get);
    }

    /** Returns whether there are client accounts, so that routes may require an API key. */
    public boolean hasAccounts() {
        return !mAccounts.isEmpty();
    }

    /** Returns the routes of a former version whose allowed regions have changed since. */
    public List<RouteRule> relocatedSince(GatewayConfiguration former) {
        return former.mRoutes.stream()
                .filter(
                        before ->
                                exactRoute(before.host(), before.pathPrefix())
                                        .map(RouteRule::allowedRegions)
                                        .filter(regions -> !regions.equals(before.allowedRegions()))
                                        .isPresent())
                .toList();
    }

    private Optional<RouteRule> exactRoute(String host, String pathPrefix) {
        return Optional.ofNullable(mRoutesByHost.getOrDefault(host, Map.of()).get(pathPrefix));
    }

    /** Returns all routes in the order of the document, including duplicates. */
    public List<RouteRule> routes() {
        return mRoutes;
    }

    /** Returns the number of routes without duplicates. */
    public int routeCount() {
        return mRoutesByHost.values().stream().mapToInt(Map::size).sum();
    }
}
