package org.filbertrudder.policy.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.filbertrudder.model.Configuration;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.Entity;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.Link;
import org.filbertrudder.model.Region;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.Rules;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.policy.limits.LimitObservation;
import org.filbertrudder.policy.limits.SendPermits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests where requests go while endpoints have a request limit. */
public class LimitedRoutingTest {

    private static final ServiceId SERVICE = ServiceId.of("chat");
    private static final RegionId LOCAL = RegionId.of("r0");
    private static final RegionId REMOTE = RegionId.of("r1");
    private static final long NOW_MS = 1_000_000;

    private EndpointTable mTable;
    private Router mRouter;
    private RegionGraph mRegions;

    @BeforeMethod
    public void createTwoRegionsWithTwoEndpointsEach() {
        List<Entity> entities = new ArrayList<>();
        entities.add(Rules.DEFAULT);
        entities.add(new Link(LOCAL, REMOTE, 10, 1_000_000));
        for (RegionId region : List.of(LOCAL, REMOTE)) {
            entities.add(new Region(region, List.of(FailureDomainId.of("d"))));
            for (int i = 0; i < 2; i++) {
                entities.add(
                        Endpoint.of(
                                EndpointId.of(region + "-" + i),
                                SERVICE,
                                region,
                                FailureDomainId.of("d"),
                                "127.0.0.1",
                                1 + i,
                                4));
            }
        }
        Configuration configuration = Configuration.of(1, "test", entities);
        mTable = new EndpointTable();
        mTable.setEndpoints(configuration.all(Endpoint.class), 0);
        mRegions = RegionGraph.of(configuration);
        mRouter = new Router(LOCAL, mTable, region -> true);
    }

    private EndpointState endpoint(RegionId region, int number) {
        return mTable.findById(EndpointId.of(region + "-" + number)).orElseThrow();
    }

    private void limit(RegionId region, int number) {
        mTable.recordLimit(
                endpoint(region, number).id(),
                new LimitObservation(OptionalDouble.of(1), NOW_MS - 10, NOW_MS),
                NOW_MS);
    }

    private SendPermits reply(EndpointState state, int count, long waitMs, long nowMs) {
        SendPermits permits = state.permits().orElseThrow();
        permits.request(1, nowMs);
        permits.handleReply(1, count, waitMs, nowMs);
        return permits;
    }

    private static RouteRequest request(boolean prompt, Set<RegionId> allowed) {
        return new RouteRequest(
                SERVICE,
                allowed::contains,
                "",
                Set.of(),
                Optional.empty(),
                false,
                false,
                false,
                prompt
                        ? Optional.of(new PromptDemand(List.of(new PromptPart("p", 10)), 20, 10))
                        : Optional.empty());
    }

    private Route choose(boolean prompt, Set<RegionId> allowed, long nowMs) {
        return mRouter.choose(request(prompt, allowed), mRegions, 0, nowMs);
    }

    /** Lists requests with and without a prompt. */
    @DataProvider
    public Object[][] prompts() {
        return new Object[][] {{false}, {true}};
    }

    @Test(dataProvider = "prompts")
    public void withoutAPermitAnEndpointGetsNothingAndOthersAreUsed(boolean prompt) {
        limit(LOCAL, 0);

        for (int i = 0; i < 3; i++) {
            Route route = choose(prompt, Set.of(LOCAL, REMOTE), NOW_MS);
            assertEquals(((Route.Local) route).endpoint(), endpoint(LOCAL, 1));
        }
        assertTrue(endpoint(LOCAL, 0).permits().orElseThrow().shouldRequest(NOW_MS));
        assertEquals(
                mRouter.findWithoutPermit(request(prompt, Set.of(LOCAL, REMOTE)), NOW_MS),
                List.of(endpoint(LOCAL, 0).id()));
    }

    @Test(dataProvider = "prompts")
    public void otherRegionsAreUsedWhileAllLocalEndpointsAreLimited(boolean prompt) {
        limit(LOCAL, 0);
        limit(LOCAL, 1);
        reply(endpoint(LOCAL, 0), 0, 3_000, NOW_MS);
        reply(endpoint(LOCAL, 1), 0, 3_000, NOW_MS);

        Route route = choose(prompt, Set.of(LOCAL, REMOTE), NOW_MS);

        assertEquals(((Route.Forward) route).region(), REMOTE);
    }

    @Test(dataProvider = "prompts")
    public void aRequestIsRefusedUntilTheNextPermitIfOnlyLimitedEndpointsMayServeIt(
            boolean prompt) {
        limit(LOCAL, 0);
        limit(LOCAL, 1);
        reply(endpoint(LOCAL, 0), 0, 3_000, NOW_MS);
        reply(endpoint(LOCAL, 1), 0, 2_000, NOW_MS);

        assertEquals(
                choose(prompt, Set.of(LOCAL), NOW_MS),
                new Route.Refuse(Route.Reason.ALL_LIMITED, 2_000));
        assertEquals(choose(prompt, Set.of(LOCAL), NOW_MS + 1_500), new Route.Wait());
    }

    @Test(dataProvider = "prompts")
    public void onePermitServesOneRequest(boolean prompt) {
        limit(LOCAL, 0);
        limit(LOCAL, 1);
        reply(endpoint(LOCAL, 0), 1, 0, NOW_MS);
        reply(endpoint(LOCAL, 1), 0, 600, NOW_MS);

        Route route = choose(prompt, Set.of(LOCAL), NOW_MS);
        assertEquals(((Route.Local) route).endpoint(), endpoint(LOCAL, 0));
        endpoint(LOCAL, 0).requestStarted(false, NOW_MS);
        assertEquals(choose(prompt, Set.of(LOCAL), NOW_MS), new Route.Wait());
    }

    @Test(dataProvider = "prompts")
    public void endpointWithALimitIsForgotten(boolean prompt) {
        limit(LOCAL, 0);
        endpoint(LOCAL, 0).recordOutcome(true, NOW_MS);
        reply(endpoint(LOCAL, 0), 1, 0, NOW_MS + 5_000);

        Route route = choose(prompt, Set.of(LOCAL, REMOTE), NOW_MS + 5_000);

        assertEquals(((Route.Local) route).endpoint(), endpoint(LOCAL, 0));
    }

    @Test(dataProvider = "prompts")
    public void requestsForALimitedRegionAreDecidedThere(boolean prompt) {
        limit(REMOTE, 0);
        limit(REMOTE, 1);

        Route route = choose(prompt, Set.of(REMOTE), NOW_MS);

        assertEquals(((Route.Forward) route).region(), REMOTE);
    }

    @Test
    public void theWaitForPermitsGrowsWithTheRequestsThatWait() {
        limit(LOCAL, 0);
        limit(LOCAL, 1);
        reply(endpoint(LOCAL, 0), 0, 500, NOW_MS);
        reply(endpoint(LOCAL, 1), 0, 700, NOW_MS);
        RouteRequest request = request(false, Set.of(LOCAL));

        assertEquals(mRouter.limitWaitMs(request, mRegions, 0, NOW_MS), 500);
        assertEquals(mRouter.limitWaitMs(request, mRegions, 4, NOW_MS), 2_500);
        RouteRequest anywhere = request(false, Set.of(LOCAL, REMOTE));
        assertEquals(mRouter.limitWaitMs(anywhere, mRegions, 4, NOW_MS), 0);
    }

    @Test
    public void theLoadGrowsSlowlyAfterTheEndOfALimit() {
        limit(LOCAL, 0);
        mTable.recordLimit(
                endpoint(LOCAL, 0).id(),
                new LimitObservation(OptionalDouble.empty(), NOW_MS, NOW_MS + 10),
                NOW_MS + 10);

        assertTrue(endpoint(LOCAL, 0).canAcceptRequest(NOW_MS + 10));
        endpoint(LOCAL, 0).requestStarted(false, NOW_MS + 10);
        assertEquals(endpoint(LOCAL, 0).canAcceptRequest(NOW_MS + 10), false);
        assertEquals(endpoint(LOCAL, 0).canAcceptRequest(NOW_MS + 5_010), true);
    }
}
