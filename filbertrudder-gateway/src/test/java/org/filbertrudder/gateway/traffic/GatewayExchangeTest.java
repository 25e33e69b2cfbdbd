package org.filbertrudder.gateway.traffic;

import static org.testng.Assert.assertEquals;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.filbertrudder.gateway.config.AccountRule;
import org.filbertrudder.gateway.config.Backend;
import org.filbertrudder.gateway.config.RequestKind;
import org.filbertrudder.gateway.config.RouteRule;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.AllowedRegions;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.filbertrudder.policy.routing.PromptDemand;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how long a request may wait, whether it may run again, and which regions may serve it. */
public class GatewayExchangeTest {

    private static final long ARRIVED_MS = 10_000;

    private static AllowedRegions regions(String... names) {
        return AllowedRegions.only(Stream.of(names).map(RegionId::of).toList());
    }

    /** Creates a request of an account, with the homes of its route and of the account. */
    static GatewayExchange exchange(
            RequestKind kind,
            boolean resumable,
            boolean forwarded,
            AllowedRegions routeRegions,
            AllowedRegions accountRegions) {
        RouteRule route =
                new RouteRule(
                        "r",
                        "h",
                        "/",
                        kind,
                        8_000,
                        1_200,
                        400,
                        1,
                        List.of(new Backend(ServiceId.of("s"), 1)),
                        2,
                        false,
                        resumable,
                        routeRegions);
        AccountRule account =
                new AccountRule(
                        AccountId.of("club"),
                        Optional.empty(),
                        Optional.empty(),
                        true,
                        0,
                        accountRegions);
        RequestHead head =
                new RequestHead(
                        "a1",
                        "h",
                        Optional.empty(),
                        OptionalLong.of(5_000),
                        Optional.empty(),
                        Optional.of(new PromptDemand(List.of(), 100, 10)),
                        0,
                        Map.of());
        return new GatewayExchange(
                head,
                "POST",
                "/x",
                Buffer.buffer(),
                route,
                Optional.of(account),
                ServiceId.of("s"),
                forwarded,
                null,
                ARRIVED_MS);
    }

    private static GatewayExchange exchange(
            RequestKind kind, boolean resumable, boolean forwarded) {
        return exchange(kind, resumable, forwarded, AllowedRegions.any(), AllowedRegions.any());
    }

    /**
     * Provides kinds of request, whether they are forwarded, and how long they may wait, in
     * milliseconds.
     */
    @DataProvider
    public Object[][] waitCases() {
        return new Object[][] {
            {RequestKind.STREAM, false, 1_200},
            {RequestKind.STREAM, true, 200},
            {RequestKind.SAFE, false, 4_900},
            {RequestKind.UNSAFE, true, 200},
        };
    }

    @Test(dataProvider = "waitCases")
    public void latestStartDependsOnKindAndForwarding(
            RequestKind kind, boolean forwarded, long waitMs) {
        assertEquals(exchange(kind, true, forwarded).latestStartMs(), ARRIVED_MS + waitMs);
    }

    @Test
    public void interruptedStreamMayWaitUntilCallerDeadline() {
        GatewayExchange exchange = exchange(RequestKind.STREAM, true, false);
        exchange.setRelay(new StreamRelay(null, 3));

        assertEquals(exchange.latestStartMs(), ARRIVED_MS + 4_900);
    }

    /**
     * Provides the kind of a request, whether it is resumable and forwarded, how often it may have
     * run, and whether it may run again.
     */
    @DataProvider
    public Object[][] rerunCases() {
        return new Object[][] {
            {RequestKind.UNSAFE, false, false, 0, true},
            {RequestKind.UNSAFE, false, false, 1, false},
            {RequestKind.SAFE, false, false, 1, true},
            {RequestKind.SAFE, false, false, 2, false},
            {RequestKind.SAFE, false, true, 1, false},
            {RequestKind.STREAM, false, false, 1, false},
            {RequestKind.STREAM, true, false, 1, true},
            {RequestKind.STREAM, true, true, 1, false},
        };
    }

    @Test(dataProvider = "rerunCases")
    public void rerunDependsOnKindAndRunCount(
            RequestKind kind, boolean resumable, boolean forwarded, int runs, boolean expected) {
        GatewayExchange exchange = exchange(kind, resumable, forwarded);
        for (int i = 0; i < runs; i++) {
            exchange.countSend();
        }

        assertEquals(exchange.mayRunAgain(), expected);
    }

    @Test
    public void uncountedRunAllowsAnotherAttempt() {
        GatewayExchange exchange = exchange(RequestKind.UNSAFE, false, false);
        exchange.countSend();
        exchange.uncountRun();

        assertEquals(exchange.mayRunAgain(), true);
        assertEquals(exchange.sends(), 1);
    }

    /** Provides the allowed regions of route and account, and whether they are disjoint. */
    @DataProvider
    public Object[][] allowedRegionCases() {
        return new Object[][] {
            {AllowedRegions.any(), AllowedRegions.any(), false},
            {regions("mtl"), AllowedRegions.any(), false},
            {regions("mtl", "sag"), regions("sag"), false},
            {regions("mtl"), regions("gas"), true},
        };
    }

    @Test(dataProvider = "allowedRegionCases")
    public void detectsDisjointAllowedRegionsOfRouteAndAccount(
            AllowedRegions routeRegions, AllowedRegions accountRegions, boolean disjoint) {
        GatewayExchange exchange =
                exchange(RequestKind.SAFE, false, false, routeRegions, accountRegions);

        assertEquals(exchange.hasNoCommonRegion(), disjoint);
    }
}
