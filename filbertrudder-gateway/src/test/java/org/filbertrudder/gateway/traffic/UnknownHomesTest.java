package org.filbertrudder.gateway.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.filbertrudder.gateway.config.CallerLimits;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.gateway.config.RequestKind;
import org.filbertrudder.gateway.control.GatewaySnapshot;
import org.filbertrudder.model.AllowedRegions;
import org.filbertrudder.model.Endpoint;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.model.message.Member;
import org.filbertrudder.model.message.MemberState;
import org.filbertrudder.model.message.StartRecords;
import org.filbertrudder.policy.routing.EndpointTable;
import org.filbertrudder.policy.routing.Route;
import org.filbertrudder.policy.routing.RouteRequest;
import org.filbertrudder.policy.routing.Router;
import org.filbertrudder.policy.scheduling.StartRequest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that homes which are unknown, or not in common, are never read as any region. */
public class UnknownHomesTest {

    private static final int CASES = 2_000;
    private static final long NOW_MS = 1_000_000;
    private static final ServiceId SERVICE = ServiceId.of("s");
    private static final FailureDomainId DOMAIN = FailureDomainId.of("d");
    private static final List<RegionId> REGIONS =
            List.of("fra", "gas", "mtl", "sag").stream().map(RegionId::of).toList();

    /** Provides seeds. */
    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1}, {2}, {3}};
    }

    /** Guards against a directory that sends callers to instances outside the homes of the host. */
    @Test(dataProvider = "seeds")
    public void directoryNamesARegionThatIsNotKnownToBeAllowed(int seed) {
        Random random = new Random(seed);
        int referrals = 0;
        for (int i = 0; i < CASES; i++) {
            Case each = new Case(random);
            Map<RegionId, List<Member>> accepting = each.mSnapshot.acceptingByRegion();
            String host = random.nextInt(4) == 0 ? "unknown" : "h";
            RegionId region = pick(random);
            boolean known = each.mSnapshot.configuration() != null && host.equals("h");
            Predicate<RegionId> allowed =
                    accepting.containsKey(region)
                            ? region::equals
                            : other -> known && each.mRouteRegions.allows(other);

            List<Member> named =
                    DirectoryChoice.of(each.mSnapshot.configuration(), accepting, region, host)
                            .members();

            assertTrue(named.stream().map(Member::region).allMatch(allowed), each + " " + named);
            assertEquals(
                    named.isEmpty(),
                    accepting.keySet().stream().noneMatch(allowed),
                    "an answer is due: " + each);
            referrals += !named.isEmpty() && !accepting.containsKey(region) ? 1 : 0;
        }
        assertTrue(referrals > CASES / 20, referrals + " referrals");
    }

    /** Guards against a scheduler that chooses a region which its request must not run in. */
    @Test(dataProvider = "seeds")
    public void startRecordAllowsARegionOutsideTheHomes(int seed) {
        Random random = new Random(seed);
        int absent = 0;
        for (int i = 0; i < CASES; i++) {
            Case each = new Case(random);
            StartContext context =
                    new StartContext(
                            () -> each.mSnapshot, null, () -> NOW_MS, null, null, null, null, null);
            Optional<StartRecords.Request> record =
                    new DecisionExecutor(SERVICE, context)
                            .record(
                                    new ServiceStarts.WaitingStart(1, each.mExchange, NOW_MS),
                                    NOW_MS);

            if (record.isPresent()) {
                StartRequest request =
                        StartConversion.request(InstanceId.of("i"), record.get()).orElseThrow();
                assertTrue(
                        REGIONS.stream()
                                .filter(request.allowedRegions()::allows)
                                .allMatch(each::isAllowed),
                        each + " " + request.allowedRegions());
            } else {
                assertTrue(each.known().noneMatch(each::isAllowed), each.toString());
                absent++;
            }
        }
        assertTrue(absent > CASES / 20, absent + " requests without a record");
    }

    /** Guards against a router that starts or forwards a request outside its homes. */
    @Test(dataProvider = "seeds")
    public void routerChoosesARegionOutsideTheHomes(int seed) {
        Random random = new Random(seed);
        int refused = 0;
        for (int i = 0; i < CASES; i++) {
            Case each = new Case(random);
            EndpointTable table = new EndpointTable();
            table.setEndpoints(each.mEndpoints, 0);
            Predicate<RegionId> reachable = each.mSnapshot.acceptingByRegion()::containsKey;
            RegionId self = each.mSnapshot.self().region();
            RouteRequest request =
                    new RouteRequest(
                            SERVICE,
                            each.mExchange::mayRunIn,
                            "",
                            each.mExchange.triedEndpoints(),
                            Optional.empty(),
                            false,
                            false,
                            false,
                            random.nextBoolean()
                                    ? each.mExchange.head().promptDemand()
                                    : Optional.empty());

            Route route =
                    new Router(self, table, reachable::test)
                            .choose(request, new UniformRegionGraph(REGIONS), 0, NOW_MS);

            if (route instanceof Route.Local) {
                assertTrue(each.isAllowed(self), each.toString());
            } else if (route instanceof Route.Forward forward) {
                assertTrue(each.isAllowed(forward.region()), each + " " + route);
            } else {
                assertTrue(route instanceof Route.Refuse, each + " " + route);
                assertTrue(
                        each.mEndpoints.stream()
                                .map(Endpoint::region)
                                .filter(each::isAllowed)
                                .noneMatch(region -> region.equals(self) || reachable.test(region)),
                        each.toString());
                refused++;
            }
        }
        assertTrue(refused > CASES / 20, refused + " refused");
    }

    private static RegionId pick(Random random) {
        return REGIONS.get(random.nextInt(REGIONS.size()));
    }

    private static List<RegionId> some(Random random) {
        return REGIONS.stream().filter(region -> random.nextInt(3) == 0).toList();
    }

    /** Draws homes: any, or some regions of which there is at least one. */
    private static AllowedRegions homes(Random random) {
        List<RegionId> some = some(random);
        return some.isEmpty() ? AllowedRegions.any() : AllowedRegions.only(some);
    }

    /** Holds one request, its homes, and what its instance knows. */
    private static final class Case {

        private final AllowedRegions mRouteRegions;
        private final AllowedRegions mAccountRegions;
        private final GatewaySnapshot mSnapshot;
        private final GatewayExchange mExchange;
        private final List<Endpoint> mEndpoints;

        Case(Random random) {
            mRouteRegions = homes(random);
            mAccountRegions = homes(random);
            mExchange =
                    GatewayExchangeTest.exchange(
                            RequestKind.SAFE, false, false, mRouteRegions, mAccountRegions);
            GatewayConfiguration configuration =
                    new GatewayConfiguration(
                            1,
                            List.of(mExchange.route()),
                            List.of(),
                            List.of(),
                            Map.of(),
                            new CallerLimits(1, 1, 1, 1));
            List<Member> members = new ArrayList<>();
            for (RegionId region : REGIONS) {
                members.add(member(region, random.nextBoolean()));
            }
            mSnapshot =
                    new GatewaySnapshot(
                            random.nextInt(4) == 0 ? null : configuration,
                            List.of(),
                            members.get(random.nextInt(members.size())),
                            members);
            mExchange.triedRegions().addAll(random.nextBoolean() ? List.of() : some(random));
            mEndpoints = some(random).stream().map(Case::endpoint).toList();
        }

        /** Returns the regions of which this instance knows that they can run requests. */
        private Stream<RegionId> known() {
            return REGIONS.stream()
                    .filter(
                            region ->
                                    region.equals(mSnapshot.self().region())
                                            || mSnapshot.acceptingByRegion().containsKey(region));
        }

        private boolean isAllowed(RegionId region) {
            return mRouteRegions.allows(region)
                    && mAccountRegions.allows(region)
                    && !mExchange.triedRegions().contains(region);
        }

        private static Endpoint endpoint(RegionId region) {
            return Endpoint.of(
                    EndpointId.of("e-" + region), SERVICE, region, DOMAIN, "127.0.0.1", 1, 4);
        }

        private static Member member(RegionId region, boolean accepting) {
            return new Member(
                    InstanceId.of("i-" + region),
                    1,
                    region,
                    DOMAIN,
                    "h",
                    1,
                    1,
                    1,
                    accepting ? MemberState.LIVE : MemberState.LEAVING);
        }

        @Override
        public String toString() {
            return "route "
                    + mRouteRegions
                    + ", account "
                    + mAccountRegions
                    + ", tried "
                    + mExchange.triedRegions()
                    + ", self "
                    + mSnapshot.self().id()
                    + ", accepting "
                    + mSnapshot.acceptingByRegion().keySet()
                    + ", configured "
                    + (mSnapshot.configuration() != null);
        }
    }
}
