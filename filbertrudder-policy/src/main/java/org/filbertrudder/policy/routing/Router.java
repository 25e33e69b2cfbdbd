package org.filbertrudder.policy.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.policy.Rendezvous;

/**
 * Chooses the endpoint or region that runs a request.
 *
 * <p>The regions that may serve the request are a filter before anything else. A forwarded request
 * is served in this region or refused, so no request can travel in a loop.
 */
public final class Router {

    private static final double BALANCE_BOUND = 1.25;
    private static final long SHORT_REST_MS = 1_000;

    private final RegionId mHere;
    private final EndpointTable mTable;
    private final RegionReach mReach;
    private final Predicate<EndpointState> mAloneHere;
    private final PromptPlacement mPlacement;

    /** Creates a router for one region that may use every endpoint for any request. */
    public Router(RegionId here, EndpointTable table, RegionReach reach) {
        this(here, table, reach, state -> true);
    }

    /**
     * Creates a router for one region.
     *
     * @param here the region
     * @param table the endpoints
     * @param reach tells which other regions can be reached
     * @param aloneHere tells which endpoints this instance may use for requests that must run
     *     alone; no two instances share one, so that two such requests never meet
     */
    public Router(
            RegionId here,
            EndpointTable table,
            RegionReach reach,
            Predicate<EndpointState> aloneHere) {
        mHere = here;
        mTable = table;
        mReach = reach;
        mAloneHere = aloneHere;
        mPlacement = new PromptPlacement(here);
    }

    /** Decides where a request runs, given how long it would wait in this region. */
    public Route choose(
            RouteRequest request, Configuration configuration, long localWaitMs, long nowMs) {
        return choose(request, RegionGraph.of(configuration), localWaitMs, nowMs);
    }

    /** Decides where a request runs, given how long it would wait in this region. */
    public Route choose(
            RouteRequest request, RegionGraph configuration, long localWaitMs, long nowMs) {
        if (request.prompt().isPresent() && !request.alone()) {
            return placePrompt(request.prompt().get(), request, configuration, nowMs);
        }
        boolean localAllowed = request.allowed().test(mHere);
        List<EndpointState> local =
                localAllowed
                        ? usable(mTable.of(request.service(), mHere), request, nowMs)
                        : List.of();
        Optional<EndpointState> free = pick(local, request, nowMs);
        if (free.isPresent()) {
            return new Route.Local(free.get());
        }
        boolean mayWait = !local.isEmpty() || (localAllowed && backSoon(request, nowMs));
        if (request.forwarded()) {
            return mayWait ? new Route.Wait() : refuseLocal(request, localAllowed, nowMs);
        }
        Optional<RegionId> away = nearestAway(request, configuration);
        if (local.isEmpty() && away.isPresent()) {
            return new Route.Away(away.get());
        }
        if (!mayWait) {
            return reachableAway(request, configuration).isPresent()
                    ? new Route.Wait()
                    : refuse(request, configuration, nowMs);
        }
        if (away.isPresent() && worthLeaving(away.get(), request, configuration, localWaitMs)) {
            return new Route.Away(away.get());
        }
        return new Route.Wait();
    }

    /** Places a prompt at the best engine of all regions; one without room anywhere waits. */
    private Route placePrompt(
            PromptDemand prompt, RouteRequest request, RegionGraph regions, long nowMs) {
        List<EndpointState> candidates =
                request.forwarded()
                        ? mTable.of(request.service(), mHere)
                        : mTable.of(request.service());
        List<EndpointState> usable =
                usable(candidates, request, nowMs).stream()
                        .filter(state -> isAllowed(state, request))
                        .filter(state -> mayReach(state.endpoint().region(), request))
                        .toList();
        ToDoubleFunction<EndpointState> costsMs =
                mPlacement.costsMs(prompt, usable, regions, nowMs);
        Optional<EndpointState> chosen = mPlacement.choose(prompt, usable, costsMs, nowMs);
        if (chosen.isPresent()) {
            if (request.patient()
                    && mPlacement.isWorthWaiting(prompt, usable, chosen.get(), costsMs, nowMs)) {
                return new Route.WaitForEngine();
            }
            RegionId region = chosen.get().endpoint().region();
            return region.equals(mHere)
                    ? new Route.Local(chosen.get())
                    : new Route.Away(region, chosen);
        }
        boolean backSoon =
                candidates.stream()
                        .filter(state -> mayReach(state.endpoint().region(), request))
                        .filter(state -> !request.tried().contains(state.id()))
                        .anyMatch(state -> state.usable(nowMs + SHORT_REST_MS));
        return usable.isEmpty() && !backSoon ? refuse(request, regions, nowMs) : new Route.Wait();
    }

    private boolean mayReach(RegionId region, RouteRequest request) {
        return request.allowed().test(region) && (region.equals(mHere) || mReach.reachable(region));
    }

    /** Returns whether an endpoint that rests after a failure will be usable again soon. */
    private boolean backSoon(RouteRequest request, long nowMs) {
        return mTable.of(request.service(), mHere).stream()
                .filter(state -> !request.tried().contains(state.id()))
                .anyMatch(state -> state.usable(nowMs + SHORT_REST_MS));
    }

    private static List<EndpointState> usable(
            List<EndpointState> endpoints, RouteRequest request, long nowMs) {
        return endpoints.stream()
                .filter(state -> state.usable(nowMs))
                .filter(state -> !request.tried().contains(state.id()))
                .toList();
    }

    private static boolean isAllowed(EndpointState state, RouteRequest request) {
        return request.only().map(state.id()::equals).orElse(true);
    }

    private Optional<EndpointState> pick(
            List<EndpointState> usable, RouteRequest request, long nowMs) {
        if (request.alone()) {
            return usable.stream()
                    .filter(state -> state.idle(nowMs))
                    .filter(state -> isAllowed(state, request))
                    .filter(mAloneHere)
                    .findFirst();
        }
        List<EndpointState> free =
                usable.stream()
                        .filter(state -> state.hasRoom(nowMs))
                        .filter(state -> isAllowed(state, request))
                        .toList();
        Optional<EndpointState> preferred = withAffinity(free, usable, request, nowMs);
        return preferred.isPresent() ? preferred : free.stream().min(leastLoaded(nowMs));
    }

    private double awayDelayMs(RegionId region, RouteRequest request, RegionGraph regions) {
        return mReach.startDelayMs(request.service(), region) + 2 * delayMs(region, regions);
    }

    /** Prefers the endpoint whose prompt cache is warm unless it has more than its share. */
    private Optional<EndpointState> withAffinity(
            List<EndpointState> free,
            List<EndpointState> usable,
            RouteRequest request,
            long nowMs) {
        if (request.affinityKey().isEmpty() || free.isEmpty()) {
            return Optional.empty();
        }
        double average = usable.stream().mapToInt(state -> state.load(nowMs)).average().orElse(0);
        double bound = BALANCE_BOUND * (average + 1);
        long keyHash = Rendezvous.hash(request.affinityKey());
        List<EndpointState> balanced =
                free.stream().filter(state -> state.load(nowMs) + 1 <= bound).toList();
        Optional<EndpointState> warm =
                balanced.stream()
                        .filter(state -> state.holdsPrefix(request.affinityKey(), nowMs))
                        .max(byAffinity(keyHash));
        return warm.isPresent() ? warm : balanced.stream().max(byAffinity(keyHash));
    }

    private static Comparator<EndpointState> byAffinity(long keyHash) {
        return Comparator.comparingLong(state -> state.affinity(keyHash));
    }

    private static Comparator<EndpointState> leastLoaded(long nowMs) {
        Comparator<EndpointState> byDoubt = Comparator.comparing(state -> state.isDoubtful(nowMs));
        Comparator<EndpointState> byShare =
                Comparator.comparingDouble(
                        state -> (double) state.load(nowMs) / state.endpoint().slots());
        return byDoubt.thenComparing(byShare)
                .thenComparingLong(EndpointState::starts)
                .thenComparing(EndpointState::id);
    }

    private Optional<RegionId> nearestAway(RouteRequest request, RegionGraph configuration) {
        return away(request, configuration).filter(mReach::hasRoom).findFirst();
    }

    /** Returns a region that can be reached, though its link may have no room now. */
    private Optional<RegionId> reachableAway(RouteRequest request, RegionGraph configuration) {
        return away(request, configuration).findFirst();
    }

    private Stream<RegionId> away(RouteRequest request, RegionGraph configuration) {
        return configuration.nearestTo(mHere).stream()
                .filter(request.allowed())
                .filter(region -> hasEndpoint(request, region))
                .filter(mReach::reachable)
                .sorted(
                        Comparator.comparingDouble(
                                region -> awayDelayMs(region, request, configuration)));
    }

    private boolean hasEndpoint(RouteRequest request, RegionId region) {
        return mTable.of(request.service(), region).stream()
                .anyMatch(state -> !state.leaving() && !request.tried().contains(state.id()));
    }

    private boolean worthLeaving(
            RegionId region, RouteRequest request, RegionGraph regions, long hereMs) {
        return hereMs > regions.awayCostMs() + awayDelayMs(region, request, regions);
    }

    private double delayMs(RegionId region, RegionGraph configuration) {
        return configuration.delayMs(mHere, region);
    }

    private Route refuseLocal(RouteRequest request, boolean localAllowed, long nowMs) {
        List<EndpointState> local =
                localAllowed ? mTable.of(request.service(), mHere) : List.<EndpointState>of();
        return refuse(local, nowMs);
    }

    private Route refuse(RouteRequest request, RegionGraph configuration, long nowMs) {
        return refuse(
                configuration.regionIds().stream()
                        .filter(request.allowed())
                        .flatMap(region -> mTable.of(request.service(), region).stream())
                        .toList(),
                nowMs);
    }

    /** Refuses a request, with the end of the shortest pause that an endpoint asked for. */
    private static Route refuse(List<EndpointState> endpoints, long nowMs) {
        long backInMs =
                endpoints.stream()
                        .filter(state -> !state.leaving())
                        .mapToLong(state -> state.pauseLeftMs(nowMs))
                        .filter(pauseMs -> pauseMs > 0)
                        .min()
                        .orElse(0);
        return new Route.Refuse(
                endpoints.isEmpty()
                        ? Route.Reason.NO_ENDPOINT_ALLOWED
                        : Route.Reason.NONE_AVAILABLE,
                backInMs);
    }
}
