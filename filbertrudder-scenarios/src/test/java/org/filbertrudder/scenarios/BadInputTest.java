package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Proves that bad input gets a typed refusal, reaches no endpoint and harms no instance. */
public class BadInputTest {

    private static final String CHAT = "/v1/chat/completions";
    private static final String GOOD_BODY =
            "{\"model\":\"small\",\"max_tokens\":1,"
                    + "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

    private Fleet mFleet;
    private String mKey;
    private String mWithdrawnKey;

    @BeforeClass
    public void startFleet() {
        mFleet = Fleet.start(Deployment.BUREAU, 3, Path.of("target", "bad-input-logs"));
        mFleet.awaitShardOwnership();
        mKey = mFleet.apiKeyOf("federation");
        Fleet.IssuedApiKey withdrawn = mFleet.issueApiKey("museum");
        mWithdrawnKey = withdrawn.apiKey();
        Reply reply = mFleet.callAdminApi("mtl-1", "DELETE", "/keys/" + withdrawn.keyId(), null);
        mFleet.awaitRevision(reply.json().path("revision").asLong());
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        if (mFleet != null) {
            mFleet.close();
        }
    }

    @DataProvider
    public Object[][] requests() {
        return Stream.of(modelRequests(), keyRequests(), serviceRequests())
                .flatMap(Arrays::stream)
                .toArray(Object[][]::new);
    }

    private static Object[][] modelRequests() {
        return new Object[][] {
            {"malformed JSON", "POST", CHAT, "KEY", "{\"model\":", 400, "malformed_json"},
            {"two documents", "POST", CHAT, "KEY", GOOD_BODY + "{}", 400, "malformed_json"},
            {"no object", "POST", CHAT, "KEY", "[1]", 400, "malformed_json"},
            {"unknown model", "POST", CHAT, "KEY", "{\"model\":\"x\"}", 404, "unknown_model"},
            {"no prompt", "POST", CHAT, "KEY", "{\"model\":\"small\"}", 400, "missing_prompt"},
            {
                "negative limit",
                "POST",
                CHAT,
                "KEY",
                GOOD_BODY.replace("\"max_tokens\":1", "\"max_tokens\":-1"),
                400,
                "invalid_max_tokens"
            },
            {
                "beyond the burst",
                "POST",
                CHAT,
                "KEY",
                GOOD_BODY.replace("\"max_tokens\":1", "\"max_tokens\":900000"),
                413,
                "exceeds_burst"
            },
        };
    }

    private static Object[][] keyRequests() {
        return new Object[][] {
            {"missing key", "POST", CHAT, null, GOOD_BODY, 401, "key_missing"},
            {"wrong key", "POST", CHAT, "fr.k1.nonsense", GOOD_BODY, 401, "key_invalid"},
            {"right id, wrong secret", "POST", CHAT, "KEY-x", GOOD_BODY, 401, "key_invalid"},
            {"right id, half a secret", "POST", CHAT, "HALF", GOOD_BODY, 401, "key_invalid"},
            {"odd key", "POST", CHAT, "fr...", GOOD_BODY, 401, "key_invalid"},
            {"withdrawn key", "POST", CHAT, "WITHDRAWN", GOOD_BODY, 401, "key_invalid"},
            {"key in the body", "POST", CHAT, "KEY", "KEY-IN-BODY", 400, "key_in_request"},
        };
    }

    private static Object[][] serviceRequests() {
        String service = "/services/bookings";
        return new Object[][] {
            {"unknown path", "GET", "/v1/nothing", "KEY", null, 404, "unknown_path"},
            {"unknown service", "GET", "/services/none/x", "KEY", null, 404, "unknown_service"},
            {
                "model as service",
                "GET",
                "/services/rulebook/x",
                "KEY",
                null,
                404,
                "unknown_service"
            },
            {"closed path", "GET", service + "/racks/1", null, null, 401, "key_missing"},
            {
                "dots to a closed path",
                "GET",
                service + "/status/../racks/1",
                null,
                null,
                400,
                "path_not_normal"
            },
            {
                "escaped dots",
                "GET",
                service + "/status/%2e%2e/racks/1",
                null,
                null,
                400,
                "path_not_normal"
            },
            {
                "key in the query",
                "GET",
                service + "/racks/1?key=SECRET",
                "KEY",
                null,
                400,
                "key_in_request"
            },
            {
                "long body",
                "POST",
                service + "/echo",
                "KEY",
                "x".repeat(9_000_000),
                413,
                "body_too_long"
            },
        };
    }

    @Test(dataProvider = "requests")
    public void isRefusedWithARemedy(
            String what,
            String method,
            String uri,
            String key,
            String body,
            int status,
            String code) {
        long before = started();
        Map<String, String> headers = new HashMap<>();
        headers.put("content-type", "application/json");
        if (key != null) {
            String half = mKey.substring(0, mKey.length() - 20);
            String shown =
                    key.replace("WITHDRAWN", mWithdrawnKey)
                            .replace("KEY", mKey)
                            .replace("HALF", half);
            headers.put("authorization", "Bearer " + shown);
        }
        String secret = mKey.substring(mKey.lastIndexOf('.') + 1);
        String sent =
                "KEY-IN-BODY".equals(body) ? GOOD_BODY.replace("hi", "my key is " + mKey) : body;

        Reply reply =
                mFleet.sendToCallerPort(
                        "mtl-1", method, uri.replace("SECRET", secret), headers, sent);

        assertEquals(reply.status(), status, reply.body());
        assertEquals(reply.errorCode(), code, reply.body());
        assertTrue(reply.reportsNotRun(), reply.body());
        assertEquals(started(), before, "requests at the engines");
        assertServes();
    }

    @Test
    public void aWrongContentTypeIsRefused() {
        Reply reply =
                mFleet.sendToCallerPort(
                        "mtl-1",
                        "POST",
                        CHAT,
                        Map.of("authorization", "Bearer " + mKey, "content-type", "text/plain"),
                        GOOD_BODY);

        assertEquals(reply.errorCode(), "wrong_content_type", reply.body());
    }

    @DataProvider
    public Object[][] rawRequests() {
        String start = "POST " + CHAT + " HTTP/1.1\r\nhost: x\r\n";
        return new Object[][] {
            {
                "length and chunks",
                start + "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
                false
            },
            {"two hosts", start + "host: y\r\ncontent-length: 0\r\n\r\n", false},
            {"two lengths", start + "content-length: 5\r\ncontent-length: 6\r\n\r\nhello", false},
            {"no HTTP", "HELLO THERE\r\n\r\n", false},
            {"bad header", start + "bad header line\r\n\r\n", false},
            {"endless header", start + "x: " + "y".repeat(40_000) + "\r\n\r\n", false},
            {"slow body", start + "content-length: 100\r\n\r\n{", false},
        };
    }

    @Test(dataProvider = "rawRequests")
    public void ambiguousOrBrokenHttpIsRefused(String what, String text, boolean halfClose) {
        long before = started();

        String answer =
                RawTcpClient.exchange(mFleet.process("mtl-1").port("callers"), text, halfClose);

        assertTrue(answer.matches("(?s)HTTP/1\\.[01] 4\\d\\d .*"), what + ": " + answer);
        assertTrue(answer.contains("\"message\""), what + ": " + answer);
        assertEquals(started(), before, "requests at the engines");
        assertServes();
    }

    @Test
    public void twoKeysAreRefusedAsAmbiguous() {
        long before = started();
        String text =
                "POST "
                        + CHAT
                        + " HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n"
                        + "authorization: Bearer "
                        + mKey
                        + "\r\nauthorization: Bearer fr.k1.other\r\ncontent-length: "
                        + GOOD_BODY.length()
                        + "\r\n\r\n"
                        + GOOD_BODY;

        String answer = RawTcpClient.exchange(mFleet.process("mtl-1").port("callers"), text, false);

        assertTrue(answer.startsWith("HTTP/1.1 400 "), answer);
        assertTrue(answer.contains("Authorization"), answer);
        assertEquals(started(), before, "requests at the engines");
    }

    @Test
    public void anUnknownCodingEndsTheConnection() {
        String text =
                "POST " + CHAT + " HTTP/1.1\r\nhost: x\r\ntransfer-encoding: xchunked\r\n\r\n";

        String answer = RawTcpClient.exchange(mFleet.process("mtl-1").port("callers"), text, false);

        assertTrue(answer.startsWith("HTTP/1.1 501 "), answer);
        assertTrue(answer.toLowerCase(Locale.ROOT).contains("connection: close"), answer);
    }

    @Test
    public void aHalfClosedConnectionHarmsNothing() {
        String text = "POST " + CHAT + " HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{";

        RawTcpClient.exchange(mFleet.process("mtl-1").port("callers"), text, true);

        assertServes();
    }

    @Test
    public void garbageOnThePeerPortClosesOnlyThatConnection() {
        int port = mFleet.process("mtl-1").port("peers");

        String answer = RawTcpClient.exchange(port, "GET / HTTP/1.1\r\n\r\n", false);

        assertEquals(answer, "");
        assertServes();
        long rejected =
                mFleet.dump("mtl-1").path("control").path("peerTraffic").path("rejected").asLong();
        assertTrue(rejected >= 1, "rejected " + rejected);
    }

    private long started() {
        return mFleet.endpoints().engineStats().stream()
                .mapToLong(stats -> stats.path("started").asLong())
                .sum();
    }

    private void assertServes() {
        Reply reply = mFleet.chat("mtl-1", mKey, "hi", 1, false).join();
        assertEquals(reply.status(), 200, reply.body());
    }
}
