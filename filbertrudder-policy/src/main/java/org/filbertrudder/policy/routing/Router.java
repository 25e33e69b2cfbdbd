package org.filbertrudder.policy.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
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

    /** The assumed wait at engines that are all cold, in milliseconds; they bear few requests. */
    private static final long COLD_WAIT_MS = 1_000;

    /** Delays of the first token that differ by less count as equal, in milliseconds. */
    private static final double DELAY_CLASS_MS = 50;

    private final RegionId mHere;
    private final EndpointTable mTable;
    private final RegionReach mReach;
    private final Predicate<EndpointState> mAloneHere;

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
    }

    /** Decides where a request runs, given how long it would wait in this region. */
    public Route choose(
            RouteRequest request, Configuration configuration, long localWaitMs, long nowMs) {
        return choose(request, RegionGraph.of(configuration), localWaitMs, nowMs);
    }

    /** Decides where a request runs, given how long it would wait in this region. */
    public Route choose(
            RouteRequest request, RegionGraph configuration, long localWaitMs, long nowMs) {
        boolean localAllowed = request.allowed().test(mHere);
        List<EndpointState> local =
                localAllowed
                        ? usable(mTable.of(request.service(), mHere), request, nowMs)
                        : List.of();
        Optional<EndpointState> free = pick(local, request, nowMs);
        if (free.isPresent()) {
            return startsSoonerAway(free.get(), request, configuration)
                    .<Route>map(Route.Away::new)
                    .orElseGet(() -> new Route.Local(free.get()));
        }
        boolean mayWait = !local.isEmpty() || (localAllowed && backSoon(request, nowMs));
        if (request.forwarded()) {
            return mayWait ? new Route.Wait() : refuseLocal(request, localAllowed);
        }
        Optional<RegionId> away = nearestAway(request, configuration);
        if (local.isEmpty() && away.isPresent()) {
            return new Route.Away(away.get());
        }
        if (!mayWait) {
            return reachableAway(request, configuration).isPresent()
                    ? new Route.Wait()
                    : refuse(request, configuration);
        }
        long hereMs = localWaitMs + promptWaitMs(local, request, nowMs);
        if (away.isPresent() && worthLeaving(away.get(), request, configuration, hereMs)) {
            return new Route.Away(away.get());
        }
        return new Route.Wait();
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
        if (request.prompt().isPresent()) {
            return withPrompt(request.prompt().get(), usable, request, nowMs);
        }
        List<EndpointState> free =
                usable.stream()
                        .filter(state -> state.hasRoom(nowMs))
                        .filter(state -> isAllowed(state, request))
                        .toList();
        Optional<EndpointState> preferred = withAffinity(free, usable, request, nowMs);
        return preferred.isPresent() ? preferred : free.stream().min(leastLoaded(nowMs));
    }

    /** Prefers the engine that probably produces the first token soonest. */
    private static Optional<EndpointState> withPrompt(
            PromptDemand prompt, List<EndpointState> usable, RouteRequest request, long nowMs) {
        long keyHash = Rendezvous.hash(prompt.affinityKey());
        Comparator<EndpointState> soonest =
                Comparator.comparingDouble(
                        state -> delayClass(state.startDelayMs(prompt, nowMs)));
        return usable.stream()
                .filter(state -> state.hasRoom(prompt, nowMs))
                .filter(state -> isAllowed(state, request))
                .min(soonest.thenComparing(byAffinity(keyHash).reversed()));
    }

    /** Rounds a delay, so that small differences do not scatter prompts that share parts. */
    private static double delayClass(double delayMs) {
        return Math.floor(delayMs / DELAY_CLASS_MS);
    }

    /** Returns the region where the prompt would be read clearly sooner, if there is one. */
    private Optional<RegionId> startsSoonerAway(
            EndpointState here, RouteRequest request, RegionGraph regions) {
        if (request.prompt().isEmpty() || request.forwarded() || request.alone()) {
            return Optional.empty();
        }
        long hereMs = (long) here.backlogMs();
        return nearestAway(request, regions)
                .filter(region -> worthLeaving(region, request, regions, hereMs));
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
        Comparator<EndpointState> byShare =
                Comparator.comparingDouble(
                        state -> (double) state.load(nowMs) / state.endpoint().slots());
        return byShare.thenComparing(EndpointState::id);
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

    /** Returns how long a prompt waits at the engines here, beyond the queue before them. */
    private static long promptWaitMs(
            List<EndpointState> local, RouteRequest request, long nowMs) {
        if (request.prompt().isEmpty()) {
            return 0;
        }
        return (long)
                local.stream()
                        .filter(state -> !state.isCold(nowMs))
                        .mapToDouble(EndpointState::backlogMs)
                        .min()
                        .orElse(COLD_WAIT_MS);
    }

    private boolean worthLeaving(
            RegionId region, RouteRequest request, RegionGraph regions, long hereMs) {
        return hereMs > regions.awayCostMs() + awayDelayMs(region, request, regions);
    }

    private double delayMs(RegionId region, RegionGraph configuration) {
        return configuration.delayMs(mHere, region);
    }

    private Route refuseLocal(RouteRequest request, boolean localAllowed) {
        boolean exists = localAllowed && !mTable.of(request.service(), mHere).isEmpty();
        return new Route.Refuse(
                exists ? Route.Reason.NONE_AVAILABLE : Route.Reason.NO_ENDPOINT_ALLOWED);
    }

    private Route refuse(RouteRequest request, RegionGraph configuration) {
        boolean exists =
                configuration.regionIds().stream()
                        .filter(request.allowed())
                        .anyMatch(region -> !mTable.of(request.service(), region).isEmpty());
        return new Route.Refuse(
                exists ? Route.Reason.NONE_AVAILABLE : Route.Reason.NO_ENDPOINT_ALLOWED);
    }
}
