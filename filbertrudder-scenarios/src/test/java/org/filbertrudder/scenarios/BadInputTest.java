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

/** Tests that invalid requests get an error response, reach no engine and affect no instance. */
public class BadInputTest {

    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String VALID_BODY =
            "{\"model\":\"small\",\"max_tokens\":1,"
                    + "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

    private Fleet mFleet;
    private String mApiKey;
    private String mWithdrawnKey;

    @BeforeClass
    public void startFleet() {
        mFleet = Fleet.start(Deployment.BUREAU, 3, Path.of("target", "bad-input-logs"));
        mFleet.awaitShardOwnership();
        mApiKey = mFleet.apiKeyOf("federation");
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

    /**
     * Lists invalid requests. KEY, WITHDRAWN and HALF are replaced by a valid, a withdrawn and a
     * truncated API key, SECRET by the secret of the valid key, and KEY-IN-BODY by a body that
     * contains the valid key.
     */
    @DataProvider
    public Object[][] invalidRequests() {
        return Stream.of(invalidModelRequests(), invalidKeyRequests(), invalidServiceRequests())
                .flatMap(Arrays::stream)
                .toArray(Object[][]::new);
    }

    private static Object[][] invalidModelRequests() {
        return new Object[][] {
            {"malformed JSON", "POST", CHAT_PATH, "KEY", "{\"model\":", 400, "malformed_json"},
            {
                "two JSON documents",
                "POST",
                CHAT_PATH,
                "KEY",
                VALID_BODY + "{}",
                400,
                "malformed_json"
            },
            {"not an object", "POST", CHAT_PATH, "KEY", "[1]", 400, "malformed_json"},
            {"unknown model", "POST", CHAT_PATH, "KEY", "{\"model\":\"x\"}", 404, "unknown_model"},
            {"no prompt", "POST", CHAT_PATH, "KEY", "{\"model\":\"small\"}", 400, "missing_prompt"},
            {
                "negative token limit",
                "POST",
                CHAT_PATH,
                "KEY",
                VALID_BODY.replace("\"max_tokens\":1", "\"max_tokens\":-1"),
                400,
                "invalid_max_tokens"
            },
            {
                "more tokens than the burst",
                "POST",
                CHAT_PATH,
                "KEY",
                VALID_BODY.replace("\"max_tokens\":1", "\"max_tokens\":900000"),
                413,
                "exceeds_burst"
            },
        };
    }

    private static Object[][] invalidKeyRequests() {
        return new Object[][] {
            {"missing key", "POST", CHAT_PATH, null, VALID_BODY, 401, "key_missing"},
            {"wrong key", "POST", CHAT_PATH, "fr.k1.nonsense", VALID_BODY, 401, "key_invalid"},
            {"known id, wrong secret", "POST", CHAT_PATH, "KEY-x", VALID_BODY, 401, "key_invalid"},
            {
                "known id, truncated secret",
                "POST",
                CHAT_PATH,
                "HALF",
                VALID_BODY,
                401,
                "key_invalid"
            },
            {"malformed key", "POST", CHAT_PATH, "fr...", VALID_BODY, 401, "key_invalid"},
            {"withdrawn key", "POST", CHAT_PATH, "WITHDRAWN", VALID_BODY, 401, "key_invalid"},
            {"key in the body", "POST", CHAT_PATH, "KEY", "KEY-IN-BODY", 400, "key_in_request"},
        };
    }

    private static Object[][] invalidServiceRequests() {
        String service = "/services/bookings";
        return new Object[][] {
            {"unknown path", "GET", "/v1/nothing", "KEY", null, 404, "unknown_path"},
            {"unknown service", "GET", "/services/none/x", "KEY", null, 404, "unknown_service"},
            {
                "model service addressed as a plain service",
                "GET",
                "/services/rulebook/x",
                "KEY",
                null,
                404,
                "unknown_service"
            },
            {"protected path", "GET", service + "/racks/1", null, null, 401, "key_missing"},
            {
                "dot segments to a protected path",
                "GET",
                service + "/status/../racks/1",
                null,
                null,
                400,
                "path_not_normal"
            },
            {
                "escaped dot segments",
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
                "body too long",
                "POST",
                service + "/echo",
                "KEY",
                "x".repeat(9_000_000),
                413,
                "body_too_long"
            },
        };
    }

    @Test(dataProvider = "invalidRequests")
    public void rejectsInvalidRequestsWithoutReachingAnEngine(
            String description,
            String method,
            String uri,
            String key,
            String body,
            int status,
            String code) {
        long startedBefore = countStartedRequests();
        Map<String, String> headers = new HashMap<>();
        headers.put("content-type", "application/json");
        if (key != null) {
            String truncatedKey = mApiKey.substring(0, mApiKey.length() - 20);
            String presentedKey =
                    key.replace("WITHDRAWN", mWithdrawnKey)
                            .replace("KEY", mApiKey)
                            .replace("HALF", truncatedKey);
            headers.put("authorization", "Bearer " + presentedKey);
        }
        String secret = mApiKey.substring(mApiKey.lastIndexOf('.') + 1);
        String sentBody =
                "KEY-IN-BODY".equals(body)
                        ? VALID_BODY.replace("hi", "my key is " + mApiKey)
                        : body;

        Reply reply =
                mFleet.sendToCallerPort(
                        "mtl-1", method, uri.replace("SECRET", secret), headers, sentBody);

        assertEquals(reply.status(), status, reply.body());
        assertEquals(reply.errorCode(), code, reply.body());
        assertTrue(reply.reportsNotRun(), reply.body());
        assertEquals(countStartedRequests(), startedBefore, "requests started by the engines");
        assertServesCallers();
    }

    @Test
    public void rejectsAWrongContentType() {
        Reply reply =
                mFleet.sendToCallerPort(
                        "mtl-1",
                        "POST",
                        CHAT_PATH,
                        Map.of("authorization", "Bearer " + mApiKey, "content-type", "text/plain"),
                        VALID_BODY);

        assertEquals(reply.errorCode(), "wrong_content_type", reply.body());
    }

    @DataProvider
    public Object[][] malformedRequests() {
        String requestStart = "POST " + CHAT_PATH + " HTTP/1.1\r\nhost: x\r\n";
        return new Object[][] {
            {
                "Content-Length and chunked",
                requestStart + "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
                false
            },
            {"two Host headers", requestStart + "host: y\r\ncontent-length: 0\r\n\r\n", false},
            {
                "two Content-Length headers",
                requestStart + "content-length: 5\r\ncontent-length: 6\r\n\r\nhello",
                false
            },
            {"not HTTP", "HELLO THERE\r\n\r\n", false},
            {"header line without a colon", requestStart + "bad header line\r\n\r\n", false},
            {"header too long", requestStart + "x: " + "y".repeat(40_000) + "\r\n\r\n", false},
            {"incomplete body", requestStart + "content-length: 100\r\n\r\n{", false},
        };
    }

    @Test(dataProvider = "malformedRequests")
    public void rejectsAmbiguousAndMalformedHttp(
            String description, String request, boolean halfClose) {
        long startedBefore = countStartedRequests();

        String response =
                RawTcpClient.exchange(mFleet.process("mtl-1").port("callers"), request, halfClose);

        assertTrue(response.matches("(?s)HTTP/1\\.[01] 4\\d\\d .*"), description + ": " + response);
        assertTrue(response.contains("\"message\""), description + ": " + response);
        assertEquals(countStartedRequests(), startedBefore, "requests started by the engines");
        assertServesCallers();
    }

    @Test
    public void rejectsTwoAuthorizationHeaders() {
        long startedBefore = countStartedRequests();
        String request =
                "POST "
                        + CHAT_PATH
                        + " HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n"
                        + "authorization: Bearer "
                        + mApiKey
                        + "\r\nauthorization: Bearer fr.k1.other\r\ncontent-length: "
                        + VALID_BODY.length()
                        + "\r\n\r\n"
                        + VALID_BODY;

        String response =
                RawTcpClient.exchange(mFleet.process("mtl-1").port("callers"), request, false);

        assertTrue(response.startsWith("HTTP/1.1 400 "), response);
        assertTrue(response.contains("Authorization"), response);
        assertEquals(countStartedRequests(), startedBefore, "requests started by the engines");
    }

    @Test
    public void closesTheConnectionOnAnUnknownTransferCoding() {
        String request =
                "POST " + CHAT_PATH + " HTTP/1.1\r\nhost: x\r\ntransfer-encoding: xchunked\r\n\r\n";

        String response =
                RawTcpClient.exchange(mFleet.process("mtl-1").port("callers"), request, false);

        assertTrue(response.startsWith("HTTP/1.1 501 "), response);
        assertTrue(response.toLowerCase(Locale.ROOT).contains("connection: close"), response);
    }

    @Test
    public void servesOtherCallersAfterAHalfClosedConnection() {
        String request =
                "POST " + CHAT_PATH + " HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{";

        RawTcpClient.exchange(mFleet.process("mtl-1").port("callers"), request, true);

        assertServesCallers();
    }

    @Test
    public void closesOnlyTheConnectionOfInvalidBytesOnThePeerPort() {
        int port = mFleet.process("mtl-1").port("peers");

        String response = RawTcpClient.exchange(port, "GET / HTTP/1.1\r\n\r\n", false);

        assertEquals(response, "");
        assertServesCallers();
        long rejected =
                mFleet.dump("mtl-1").path("control").path("peerTraffic").path("rejected").asLong();
        assertTrue(rejected >= 1, "rejected by the peer port: " + rejected);
    }

    private long countStartedRequests() {
        return mFleet.endpoints().engineStats().stream()
                .mapToLong(stats -> stats.path("started").asLong())
                .sum();
    }

    private void assertServesCallers() {
        Reply reply = mFleet.sendChat("mtl-1", mApiKey, "hi", 1, false).join();
        assertEquals(reply.status(), 200, reply.body());
    }
}
