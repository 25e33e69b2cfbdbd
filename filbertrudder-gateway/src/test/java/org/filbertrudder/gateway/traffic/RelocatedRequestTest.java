package org.filbertrudder.gateway.traffic;

import static org.testng.Assert.assertEquals;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.filbertrudder.gateway.config.AccountRule;
import org.filbertrudder.gateway.config.Backend;
import org.filbertrudder.gateway.config.CallerLimits;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.gateway.config.RequestKind;
import org.filbertrudder.gateway.config.RouteRule;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.AllowedRegions;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.model.ServiceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which regions may serve a request when the configuration changes after its arrival. */
public class RelocatedRequestTest {

    private static final String KEY = "key";
    private static final AllowedRegions ANY = AllowedRegions.any();
    private static final AllowedRegions NONE = only();

    private static AllowedRegions only(String... regions) {
        return AllowedRegions.only(Stream.of(regions).map(RegionId::of).toList());
    }

    private static RouteRule route(String prefix, AllowedRegions regions) {
        return new RouteRule(
                prefix,
                "h",
                prefix,
                RequestKind.SAFE,
                8_000,
                1_200,
                400,
                1,
                List.of(new Backend(ServiceId.of("s"), 1)),
                2,
                false,
                false,
                regions);
    }

    private static AccountRule account(String id, AllowedRegions regions) {
        return new AccountRule(
                AccountId.of(id), Optional.empty(), Optional.empty(), true, 0, regions);
    }

    private static GatewayConfiguration configuration(
            String keyOwner, AllowedRegions otherAccountRegions, RouteRule... routes) {
        return new GatewayConfiguration(
                2,
                new ArrayList<>(List.of(routes)),
                List.of(),
                List.of(account("club", ANY), account("other", otherAccountRegions)),
                Map.of(KEY, AccountId.of(keyOwner)),
                new CallerLimits(16_384, 65_536, 3_000, 15_000));
    }

    /** Lists the newer configuration, and the regions that may serve a request for /a/ of mtl. */
    @DataProvider
    public Object[][] changes() {
        return new Object[][] {
            {"unchanged", configuration("club", ANY, route("/a/", only("mtl"))), only("mtl")},
            {"moved", configuration("club", ANY, route("/a/", only("sag"))), only("sag")},
            {"no homes left", configuration("club", ANY, route("/a/", ANY)), ANY},
            {"dropped", configuration("club", ANY), only("mtl")},
            {
                "dropped beside a wider route",
                configuration("club", ANY, route("/", ANY)),
                only("mtl")
            },
            {
                "divided",
                configuration("club", ANY, route("/a/", only("mtl")), route("/a/b/", only("sag"))),
                NONE
            },
            {
                "key moved",
                configuration("other", only("sag", "mtl"), route("/a/", only("mtl", "gas"))),
                only("mtl")
            },
        };
    }

    @Test(dataProvider = "changes")
    public void aChangeLiftsTheHomesOfARequestThatWaits(
            String change, GatewayConfiguration newer, AllowedRegions expected) {
        RequestHead head =
                new RequestHead(
                        "a1",
                        "h",
                        Optional.of(KEY),
                        OptionalLong.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        Map.of());
        GatewayExchange exchange =
                new GatewayExchange(
                        head,
                        "GET",
                        "/a/b/x?q=/c/",
                        Buffer.buffer(),
                        route("/a/", only("mtl")),
                        Optional.of(account("club", ANY)),
                        ServiceId.of("s"),
                        false,
                        null,
                        0);
        assertEquals(exchange.allowedRegions(), only("mtl"));

        exchange.followConfiguration(() -> newer);

        assertEquals(exchange.allowedRegions(), expected, change);
    }
}
