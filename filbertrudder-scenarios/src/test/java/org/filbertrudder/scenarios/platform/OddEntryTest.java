package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that odd entries that another writer left in the store do not stop an instance. */
public class OddEntryTest {

    private static final String API_KEY = "key-club";
    private static final int NESTING = 200_000;
    private static final String HUGE_INTEGER = "9".repeat(400);
    private static final String HUGE_DECIMAL = "1e999999999";

    private PlatformFleet mFleet;

    @BeforeMethod
    public void startFleet() {
        mFleet = new PlatformFleet("mtl");
        mFleet.writeConfiguration(true);
        mFleet.startReplica("desk-1", PlatformFleet.BOOKING_SERVICE, "mtl", 16);
        mFleet.startGateway("mtl-1", "mtl");
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
    }

    /** Lists the prefixes of the keys that an instance reads. */
    @DataProvider
    public Object[][] prefixes() {
        return new Object[][] {
            {"servers/"}, {"filbertrudder/instances/"}, {"filbertrudder/blocked-parts/"},
        };
    }

    @Test(dataProvider = "prefixes")
    public void oddEntryStopsAnInstance(String prefix) {
        List<String> documents = oddDocuments();
        for (int i = 0; i < documents.size(); i++) {
            mFleet.store().put(prefix + "odd-" + i, documents.get(i));
        }
        mFleet.store().put(prefix + "a b/\u0000", "{}");

        mFleet.startGateway("mtl-2", "mtl");
        mFleet.startReplica("desk-2", PlatformFleet.BOOKING_SERVICE, "mtl", 16);

        for (String gateway : List.of("mtl-1", "mtl-2")) {
            PlatformFleet.await(
                    gateway + " uses the new replica",
                    () -> {
                        assertEquals(lookup(gateway), 200);
                        return !mFleet.replica("desk-2").executedRequests().isEmpty();
                    });
            mFleet.replica("desk-2").executedRequests().clear();
        }
        mFleet.addedRoutes().add("/later/");
        mFleet.writeConfiguration(true);
        for (String gateway : List.of("mtl-1", "mtl-2")) {
            PlatformFleet.await(
                    gateway + " follows the configuration",
                    () ->
                            mFleet.callerClient(gateway)
                                            .sendPlain("GET", "/later/x", API_KEY)
                                            .status()
                                    == 200);
        }
    }

    private int lookup(String gateway) {
        return mFleet.callerClient(gateway).sendPlain("GET", "/stock/x", API_KEY).status();
    }

    @Test
    public void oddConfigurationIsNotFollowed() {
        for (String document : oddDocuments()) {
            mFleet.store().put("op/config", document);
        }
        mFleet.store().put("op/evacuate/a b/\u0000", "[".repeat(NESTING));
        mFleet.addedRoutes().add("/later/");
        mFleet.writeConfiguration(true);

        PlatformFleet.await(
                "the next configuration is followed",
                () ->
                        mFleet.callerClient("mtl-1").sendPlain("GET", "/later/x", API_KEY).status()
                                == 200);
    }

    private static List<String> oddDocuments() {
        List<String> documents =
                new ArrayList<>(
                        List.of(
                                "",
                                "null",
                                "\"ready\"",
                                "{\"",
                                "[".repeat(NESTING),
                                "{\"a\":".repeat(NESTING),
                                "{\"state\":" + "[".repeat(NESTING) + "]".repeat(NESTING) + "}",
                                "\u0000\ud800"));
        for (String address :
                List.of(
                        "127.0.0.1:0",
                        "127.0.0.1:-1",
                        "127.0.0.1:65536",
                        "127.0.0.1:99999999999",
                        ":80",
                        "",
                        "127.0.0.1",
                        "no such host:80",
                        "..:80",
                        "\\u0000:80")) {
            documents.add(entry("\"" + address + "\"", "16", "0", "1", "1"));
        }
        for (String number :
                List.of(HUGE_INTEGER, "-" + HUGE_INTEGER, HUGE_DECIMAL, "-1", "1e308", "[]")) {
            documents.add(entry("\"127.0.0.1:9\"", number, "0", "1", "1"));
            documents.add(entry("\"127.0.0.1:9\"", "16", number, "1", "1"));
            documents.add(entry("\"127.0.0.1:9\"", "16", "0", number, "1"));
            documents.add(entry("\"127.0.0.1:9\"", "16", "0", "1", number));
        }
        for (String number : List.of(HUGE_INTEGER, "-" + HUGE_INTEGER, HUGE_DECIMAL, "[]")) {
            documents.add(member(number, "1"));
            documents.add(member("1", number));
        }
        for (String port : List.of("-1", "65536", "2147483647")) {
            documents.add(member("1", port));
        }
        documents.add("{\"version\":" + HUGE_INTEGER + ",\"routes\":[]}");
        documents.add("{\"version\":" + HUGE_DECIMAL + ",\"routes\":[]}");
        documents.add("{\"version\":7,\"routes\":" + "[".repeat(NESTING) + "}");
        return documents;
    }

    /** Returns an entry of a replica whose fields are given as JSON. */
    private static String entry(
            String address, String slots, String warmupMs, String startedMs, String sequence) {
        return """
        {"service":"odd","addr":%s,"zone":"mtl-a","slots":%s,"state":"ready","warmupMs":%s,
         "born":%s,"seq":%s}\
        """
                .formatted(address, slots, warmupMs, startedMs, sequence);
    }

    /** Returns a registration of an instance whose fields are given as JSON. */
    private static String member(String incarnation, String port) {
        return """
        {"id":"odd","incarnation":%s,"region":"mtl","failureDomain":"mtl-a","host":"127.0.0.1",
         "peerPort":%s,"forwardPort":%s,"callerPort":%s,"state":"LIVE","strength":100}\
        """
                .formatted(incarnation, port, port, port);
    }
}
