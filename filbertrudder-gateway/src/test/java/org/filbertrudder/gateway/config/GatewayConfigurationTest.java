package org.filbertrudder.gateway.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.AllowedRegions;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the selection of the route, service and account of a request. */
public class GatewayConfigurationTest {

    private static RouteRule route(String host, String prefix, String... allowedRegions) {
        return new RouteRule(
                host + prefix,
                host,
                prefix,
                RequestKind.SAFE,
                1_000,
                500,
                400,
                0,
                List.of(new Backend(ServiceId.of("s"), 1)),
                2,
                false,
                false,
                allowedRegions.length == 0 ? AllowedRegions.any() : regions(allowedRegions));
    }

    private static AllowedRegions regions(String... names) {
        return AllowedRegions.only(Stream.of(names).map(RegionId::of).toList());
    }

    private static GatewayConfiguration configuration(RouteRule... routes) {
        AccountRule account =
                new AccountRule(
                        AccountId.of("club"),
                        Optional.empty(),
                        Optional.empty(),
                        true,
                        10,
                        AllowedRegions.any());
        return new GatewayConfiguration(
                1,
                List.of(routes),
                List.of(),
                List.of(account),
                Map.of("secret", account.id()),
                new CallerLimits(1, 1, 1, 1));
    }

    /** Provides paths and the prefix of the expected route; null for no route. */
    @DataProvider
    public Object[][] pathsAndPrefixes() {
        return new Object[][] {
            {"/a/x", "/a/"},
            {"/a/", "/a/"},
            {"/a/b/c", "/a/b/"},
            {"/a/bc", "/a/"},
            {"/ab", null},
            {"/", null},
            {"", null},
            {"/c/d/e/f", "/c/d/e/"},
            {"/c/d/x", null},
        };
    }

    @Test(dataProvider = "pathsAndPrefixes")
    public void selectsRouteWithLongestPrefix(String path, String prefix) {
        GatewayConfiguration configuration =
                configuration(route("h", "/a/"), route("h", "/a/b/"), route("h", "/c/d/e/"));

        assertEquals(
                configuration.route("h", path).map(RouteRule::pathPrefix).orElse(null), prefix);
    }

    @Test
    public void ignoresRoutesOfOtherHosts() {
        assertTrue(configuration(route("h", "/")).route("other", "/x").isEmpty());
    }

    @Test
    public void findsAccountByKeyAndByKeyDigest() {
        GatewayConfiguration configuration = configuration();

        assertEquals(
                configuration.accountOfKeyDigest(KeyDigests.of("secret")),
                configuration.accountOfKey("secret"));
        assertTrue(configuration.accountOfKey("Secret").isEmpty());
    }

    @Test
    public void allowedRegionsOfHostAreCommonToItsRestrictedRoutes() {
        GatewayConfiguration configuration =
                configuration(
                        route("h", "/a/", "mtl", "sag"),
                        route("h", "/b/"),
                        route("h", "/c/", "sag"));

        assertEquals(configuration.allowedRegionsOf("h"), Optional.of(regions("sag")));
        assertEquals(configuration.allowedRegionsOf("other"), Optional.empty());
    }

    /** Provides fractions and the expected one of two services with weights 90 and 10. */
    @DataProvider
    public Object[][] fractionsAndServices() {
        return new Object[][] {{0.0, "old"}, {0.89, "old"}, {0.91, "new"}, {0.999, "new"}};
    }

    @Test(dataProvider = "fractionsAndServices")
    public void dividesRequestsAmongServicesByWeight(double fraction, String service) {
        RouteRule route =
                new RouteRule(
                        "r",
                        "h",
                        "/",
                        RequestKind.SAFE,
                        1,
                        1,
                        0,
                        0,
                        List.of(
                                new Backend(ServiceId.of("old"), 90),
                                new Backend(ServiceId.of("new"), 10)),
                        1,
                        true,
                        false,
                        AllowedRegions.any());

        assertEquals(route.chooseService(fraction), ServiceId.of(service));
    }
}
