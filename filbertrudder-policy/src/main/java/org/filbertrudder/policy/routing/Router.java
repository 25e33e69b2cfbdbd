package org.filbertrudder.policy.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.policy.RendezvousHashing;

/**
 * Chooses the endpoint or region that runs a request.
 *
 * <p>Only regions that are allowed to serve the request are considered at all. A request that was
 * forwarded by another region is never forwarded again, which rules out routing loops: it runs or
 * waits in this region, or is refused.
 */
public final class Router {

    private static final double MAX_LOAD_TO_AVERAGE_RATIO = 1.25;
    private static final long SHORT_BACKOFF_MS = 1_000;

    private final RegionId mLocalRegion;
    private final EndpointTable mEndpoints;
    private final RegionAvailability mRegionAvailability;
    private final Predicate<EndpointState> mExclusiveUseAllowed;
    private final PromptPlacement mPlacement;

    /** Creates a router for one region that may use every endpoint for exclusive requests. */
    public Router(
            RegionId localRegion, EndpointTable endpoints, RegionAvailability regionAvailability) {
        this(localRegion, endpoints, regionAvailability, state -> true);
    }

    /**
     * Creates a router for one region.
     *
     * @param localRegion the region of this instance
     * @param endpoints the endpoints of all regions
     * @param regionAvailability tells which other regions can be reached
     * @param exclusiveUseAllowed tells which endpoints this instance may use for exclusive
     *     requests; no two instances may use the same one, so two such requests never share an
     *     endpoint
     */
    public Router(
            RegionId localRegion,
            EndpointTable endpoints,
            RegionAvailability regionAvailability,
            Predicate<EndpointState> exclusiveUseAllowed) {
        mLocalRegion = localRegion;
        mEndpoints = endpoints;
        mRegionAvailability = regionAvailability;
        mExclusiveUseAllowed = exclusiveUseAllowed;
        mPlacement = new PromptPlacement(localRegion);
    }

    /** Decides where a request runs, given how long it would wait in this region. */
    public Route choose(
            RouteRequest request, Configuration configuration, long localWaitMs, long nowMs) {
        return choose(request, RegionGraph.of(configuration), localWaitMs, nowMs);
    }

    /** Decides where a request runs, given how long it would wait in this region. */
    public Route choose(RouteRequest request, RegionGraph regions, long localWaitMs, long nowMs) {
        noteDemand(request, nowMs);
        if (request.prompt().isPresent() && !request.exclusive()) {
            return placePrompt(request.prompt().get(), request, regions, nowMs);
        }
        boolean localAllowed = request.allowed().test(mLocalRegion);
        List<EndpointState> local =
                localAllowed
                        ? usableEndpoints(
                                mEndpoints.findByService(request.service(), mLocalRegion),
                                request,
                                nowMs)
                        : List.of();
        Optional<EndpointState> available = pickLocalEndpoint(local, request, nowMs);
        if (available.isPresent()) {
            return new Route.Local(available.get());
        }
        boolean mayWait =
                !local.isEmpty() || (localAllowed && hasEndpointUsableSoon(request, nowMs));
        if (request.forwarded()) {
            return mayWait ? new Route.Wait() : refuseLocal(request, localAllowed, nowMs);
        }
        Optional<RegionId> remoteRegion = fastestForwardingTarget(request, regions);
        if (local.isEmpty() && remoteRegion.isPresent()) {
            return new Route.Forward(remoteRegion.get());
        }
        if (!mayWait) {
            return fastestReachableRegion(request, regions).isPresent()
                    ? new Route.Wait()
                    : refuse(request, regions, nowMs);
        }
        if (remoteRegion.isPresent()
                && isForwardingWorthwhile(remoteRegion.get(), request, regions, localWaitMs)) {
            return new Route.Forward(remoteRegion.get());
        }
        return new Route.Wait();
    }

    /** Returns whether any endpoint has a request limit. */
    public boolean hasLimits() {
        return mEndpoints.limits().hasLimits();
    }

    /** Tells the endpoints with a limit that a request could use a permit. */
    private void noteDemand(RouteRequest request, long nowMs) {
        if (hasLimits() && request.allowed().test(mLocalRegion)) {
            mEndpoints.findByService(request.service(), mLocalRegion).stream()
                    .filter(state -> !request.excludedEndpoints().contains(state.id()))
                    .forEach(state -> state.noteDemand(nowMs));
        }
    }

    /**
     * Returns how long a request waits because all endpoints that could run it have a limit, in
     * milliseconds; 0 if there is another one.
     *
     * @param ahead the number of requests that wait already
     */
    public long limitWaitMs(RouteRequest request, RegionGraph regions, int ahead, long nowMs) {
        List<EndpointState> candidates =
                regions.regionIds().stream()
                        .filter(region -> mayRunIn(region, request))
                        .filter(region -> !request.forwarded() || region.equals(mLocalRegion))
                        .flatMap(
                                region ->
                                        mEndpoints
                                                .findByService(request.service(), region)
                                                .stream())
                        .filter(state -> state.isHealthy(nowMs))
                        .filter(state -> !request.excludedEndpoints().contains(state.id()))
                        .toList();
        List<EndpointState> local = candidates.stream().filter(this::isLocal).toList();
        if (local.isEmpty() || !candidates.stream().allMatch(EndpointState::isLimited)) {
            return 0;
        }
        int aheadForEach = ahead / local.size();
        return local.stream()
                .mapToLong(state -> state.remainingWaitMs(aheadForEach, nowMs))
                .min()
                .orElse(0);
    }

    /** Returns the endpoints with a limit that could run the request if they had a permit. */
    public List<EndpointId> findWithoutPermit(RouteRequest request, long nowMs) {
        return mEndpoints.findByService(request.service()).stream()
                .filter(state -> mayRunIn(state.endpoint().region(), request))
                .filter(state -> state.isLimited() && state.isHealthy(nowMs))
                .filter(state -> !state.canAcceptRequest(nowMs))
                .filter(state -> !request.excludedEndpoints().contains(state.id()))
                .map(EndpointState::id)
                .toList();
    }

    private boolean isLocal(EndpointState state) {
        return state.endpoint().region().equals(mLocalRegion);
    }

    /**
     * Places a prompt on the engine with the lowest cost in all regions, or makes it wait if no
     * usable engine can accept it.
     */
    private Route placePrompt(
            PromptDemand prompt, RouteRequest request, RegionGraph regions, long nowMs) {
        List<EndpointState> candidates =
                request.forwarded()
                        ? mEndpoints.findByService(request.service(), mLocalRegion)
                        : mEndpoints.findByService(request.service());
        List<EndpointState> usable =
                usableEndpoints(candidates, request, nowMs).stream()
                        .filter(state -> matchesPinnedEndpoint(state, request))
                        .filter(state -> mayRunIn(state.endpoint().region(), request))
                        .toList();
        ToDoubleFunction<EndpointState> costsMs =
                mPlacement.costsMs(prompt, request.remainingMs(), usable, regions, nowMs);
        Optional<EndpointState> limitCheck =
                usable.stream()
                        .filter(state -> state.isLimitCheckDue(nowMs))
                        .filter(state -> state.canAcceptRequest(prompt, nowMs))
                        .findFirst();
        Optional<EndpointState> chosen =
                limitCheck.isPresent()
                        ? limitCheck
                        : mPlacement.choose(prompt, usable, costsMs, nowMs);
        if (chosen.isPresent()) {
            if (limitCheck.isEmpty()
                    && request.mayWaitForBusyEngine()
                    && mPlacement.isBusyEngineCheaper(
                            prompt, usable, chosen.get(), costsMs, nowMs)) {
                return new Route.WaitForEngine();
            }
            RegionId region = chosen.get().endpoint().region();
            return region.equals(mLocalRegion)
                    ? new Route.Local(chosen.get())
                    : new Route.Forward(region, chosen);
        }
        if (!usable.isEmpty() && usable.stream().allMatch(this::isLimitedElsewhere)) {
            // Only the instances of the other region can obtain permits for these endpoints.
            return new Route.Forward(usable.get(0).endpoint().region());
        }
        boolean usableSoon =
                candidates.stream()
                        .filter(state -> mayRunIn(state.endpoint().region(), request))
                        .filter(state -> !request.excludedEndpoints().contains(state.id()))
                        .anyMatch(state -> state.isUsable(nowMs + SHORT_BACKOFF_MS));
        return usable.isEmpty() && !usableSoon ? refuse(request, regions, nowMs) : new Route.Wait();
    }

    private boolean isLimitedElsewhere(EndpointState state) {
        return state.isLimited() && !isLocal(state);
    }

    private boolean mayRunIn(RegionId region, RouteRequest request) {
        return request.allowed().test(region)
                && (region.equals(mLocalRegion) || mRegionAvailability.isReachable(region));
    }

    /** Returns whether a local endpoint is usable or will be after a short backoff. */
    private boolean hasEndpointUsableSoon(RouteRequest request, long nowMs) {
        return mEndpoints.findByService(request.service(), mLocalRegion).stream()
                .filter(state -> !request.excludedEndpoints().contains(state.id()))
                .anyMatch(state -> state.isUsable(nowMs + SHORT_BACKOFF_MS));
    }

    private static List<EndpointState> usableEndpoints(
            List<EndpointState> endpoints, RouteRequest request, long nowMs) {
        return endpoints.stream()
                .filter(state -> state.isUsable(nowMs))
                .filter(state -> !request.excludedEndpoints().contains(state.id()))
                .toList();
    }

    private static boolean matchesPinnedEndpoint(EndpointState state, RouteRequest request) {
        return request.pinnedEndpoint().map(state.id()::equals).orElse(true);
    }

    private Optional<EndpointState> pickLocalEndpoint(
            List<EndpointState> usable, RouteRequest request, long nowMs) {
        if (request.exclusive()) {
            return usable.stream()
                    .filter(state -> state.isIdle(nowMs))
                    .filter(state -> matchesPinnedEndpoint(state, request))
                    .filter(mExclusiveUseAllowed)
                    .findFirst();
        }
        List<EndpointState> available =
                usable.stream()
                        .filter(state -> state.canAcceptRequest(nowMs))
                        .filter(state -> matchesPinnedEndpoint(state, request))
                        .toList();
        Optional<EndpointState> limitCheck =
                available.stream().filter(state -> state.isLimitCheckDue(nowMs)).findFirst();
        if (limitCheck.isPresent()) {
            return limitCheck;
        }
        Optional<EndpointState> preferred = pickByAffinity(available, usable, request, nowMs);
        return preferred.isPresent()
                ? preferred
                : available.stream().min(byFailureRateAndLoad(available, nowMs));
    }

    private double remoteStartDelayMs(RegionId region, RouteRequest request, RegionGraph regions) {
        return mRegionAvailability.expectedWaitMs(request.service(), region)
                + 2 * linkDelayMs(region, regions);
    }

    /**
     * Picks by rendezvous hashing with bounded loads: among the endpoints that would not exceed the
     * load bound, prefers those that have probably cached the prompt prefix.
     */
    private Optional<EndpointState> pickByAffinity(
            List<EndpointState> available,
            List<EndpointState> usable,
            RouteRequest request,
            long nowMs) {
        if (request.affinityKey().isEmpty() || available.isEmpty()) {
            return Optional.empty();
        }
        double averageLoad =
                usable.stream().mapToInt(state -> state.load(nowMs)).average().orElse(0);
        double maxLoad = MAX_LOAD_TO_AVERAGE_RATIO * (averageLoad + 1);
        long keyHash = RendezvousHashing.hash(request.affinityKey());
        List<EndpointState> belowMaxLoad =
                available.stream().filter(state -> state.load(nowMs) + 1 <= maxLoad).toList();
        Optional<EndpointState> cached =
                belowMaxLoad.stream()
                        .filter(state -> state.hasProbablyCached(request.affinityKey(), nowMs))
                        .max(byAffinity(keyHash));
        return cached.isPresent() ? cached : belowMaxLoad.stream().max(byAffinity(keyHash));
    }

    private static Comparator<EndpointState> byAffinity(long keyHash) {
        return Comparator.comparingLong(state -> state.affinity(keyHash));
    }

    private static Comparator<EndpointState> byFailureRateAndLoad(
            List<EndpointState> candidates, long nowMs) {
        Comparator<EndpointState> byFailureRate =
                Comparator.comparing(state -> state.isFailureRateHigh(nowMs));
        // The loads of all candidates are weighted in the same way, as the two are not comparable.
        boolean weighted = candidates.stream().anyMatch(state -> state.hasStatedPace(nowMs));
        Comparator<EndpointState> byLoadPerSlot =
                Comparator.comparingDouble(
                        state -> weighted ? pacedLoad(state, nowMs) : loadPerSlot(state, nowMs));
        return byFailureRate
                .thenComparing(byLoadPerSlot)
                .thenComparingLong(EndpointState::requestsSent)
                .thenComparing(EndpointState::id);
    }

    private static double loadPerSlot(EndpointState state, long nowMs) {
        return (double) state.load(nowMs) / state.endpoint().slots();
    }

    /** Returns the load with one more request, weighted by the pace that the endpoint states. */
    private static double pacedLoad(EndpointState state, long nowMs) {
        return (state.load(nowMs) + 1.0) * state.pacePercent(nowMs) / state.endpoint().slots();
    }

    private Optional<RegionId> fastestForwardingTarget(RouteRequest request, RegionGraph regions) {
        return reachableRemoteRegions(request, regions)
                .filter(mRegionAvailability::hasLinkCapacity)
                .findFirst();
    }

    /** Returns the fastest region that can be reached, even if its link has no capacity now. */
    private Optional<RegionId> fastestReachableRegion(RouteRequest request, RegionGraph regions) {
        return reachableRemoteRegions(request, regions).findFirst();
    }

    private Stream<RegionId> reachableRemoteRegions(RouteRequest request, RegionGraph regions) {
        return regions.nearestTo(mLocalRegion).stream()
                .filter(request.allowed())
                .filter(region -> hasEndpoint(request, region))
                .filter(mRegionAvailability::isReachable)
                .sorted(
                        Comparator.comparingDouble(
                                region -> remoteStartDelayMs(region, request, regions)));
    }

    private boolean hasEndpoint(RouteRequest request, RegionId region) {
        return mEndpoints.findByService(request.service(), region).stream()
                .anyMatch(
                        state ->
                                !state.isLeaving()
                                        && !request.excludedEndpoints().contains(state.id()));
    }

    private boolean isForwardingWorthwhile(
            RegionId region, RouteRequest request, RegionGraph regions, long localWaitMs) {
        return localWaitMs
                > regions.forwardingCostMs() + remoteStartDelayMs(region, request, regions);
    }

    private double linkDelayMs(RegionId region, RegionGraph regions) {
        return regions.delayMs(mLocalRegion, region);
    }

    private Route refuseLocal(RouteRequest request, boolean localAllowed, long nowMs) {
        List<EndpointState> local =
                localAllowed
                        ? mEndpoints.findByService(request.service(), mLocalRegion)
                        : List.<EndpointState>of();
        return refuse(local, nowMs);
    }

    private Route refuse(RouteRequest request, RegionGraph regions, long nowMs) {
        return refuse(
                regions.regionIds().stream()
                        .filter(request.allowed())
                        .flatMap(
                                region ->
                                        mEndpoints
                                                .findByService(request.service(), region)
                                                .stream())
                        .toList(),
                nowMs);
    }

    /** Refuses a request; reports the shortest remaining wait for an endpoint, if any. */
    private static Route refuse(List<EndpointState> endpoints, long nowMs) {
        Optional<EndpointState> soonest =
                endpoints.stream()
                        .filter(state -> !state.isLeaving())
                        .filter(state -> state.remainingWaitMs(0, nowMs) > 0)
                        .min(Comparator.comparingLong(state -> state.remainingWaitMs(0, nowMs)));
        if (soonest.isPresent()) {
            return new Route.Refuse(
                    soonest.get().isLimited()
                            ? Route.Reason.ALL_LIMITED
                            : Route.Reason.NONE_AVAILABLE,
                    soonest.get().remainingWaitMs(0, nowMs));
        }
        return new Route.Refuse(
                endpoints.isEmpty()
                        ? Route.Reason.NO_ENDPOINT_ALLOWED
                        : Route.Reason.NONE_AVAILABLE);
    }
}
