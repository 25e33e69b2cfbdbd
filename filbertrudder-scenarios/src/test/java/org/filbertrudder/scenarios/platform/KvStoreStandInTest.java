package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.filbertrudder.model.Json;
import org.filbertrudder.standins.platform.ArrivalLog;
import org.filbertrudder.standins.platform.KvStoreStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the simulated store returns from a copy as the platform's store does. */
public class KvStoreStandInTest {

    private static final long WRITE_DELAY_MS = 200;

    private Vertx mVertx;
    private HttpClient mClient;
    private KvStoreStandIn mStore;
    private int mPort;

    @BeforeMethod
    public void startStore() {
        mVertx = Vertx.vertx();
        mStore = new KvStoreStandIn(mVertx, "127.0.0.1");
        mPort = mStore.start();
        mClient = mVertx.createHttpClient();
    }

    @AfterMethod(alwaysRun = true)
    public void stopStore() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Holds a response of the store. */
    private record Response(int status, String era, String body) {}

    private CompletableFuture<Response> send(String method, String uri, String body) {
        return mClient.request(HttpMethod.valueOf(method), mPort, "127.0.0.1", uri)
                .compose(
                        request ->
                                request.send(Buffer.buffer(body))
                                        .compose(KvStoreStandInTest::readResponse))
                .toCompletionStage()
                .toCompletableFuture();
    }

    /** Reads a response; to be called in the step that sends, as an earlier body is lost. */
    private static Future<Response> readResponse(HttpClientResponse response) {
        return response.body()
                .map(
                        content ->
                                new Response(
                                        response.statusCode(),
                                        response.getHeader("Store-Era"),
                                        content.toString()));
    }

    private Response call(String method, String uri, String body) {
        return send(method, uri, body).join();
    }

    private JsonNode callForJson(String method, String uri, String body) {
        try {
            return Json.MAPPER.readTree(call(method, uri, body).body());
        } catch (JsonProcessingException e) {
            throw new AssertionError(e);
        }
    }

    private long leaseAfterGrant() {
        return callForJson("POST", "/kv-lease", "{\"ttlMs\":60000}").path("lease").asLong();
    }

    private void putWithLease(String key, long lease) {
        call(
                "POST",
                "/kv-txn",
                """
                {"puts":[{"key":"%s","value":"e30=","lease":%d}]}\
                """
                        .formatted(key, lease));
    }

    private void returnFromCopy(KvStoreStandIn.Copy copy) {
        mStore.restore(copy);
        mStore.writeAgain();
    }

    /** Lists a call for each status that the store can respond with. */
    @DataProvider
    public Object[][] calls() {
        return new Object[][] {
            {200, "GET", "/kv-range?pathPrefix=op/", ""},
            {200, "DELETE", "/kv-lease-end/99", ""},
            {400, "POST", "/kv-txn", "{"},
            {403, "POST", "/kv-txn", "{\"puts\":[{\"key\":\"op/config\",\"value\":\"\"}]}"},
            {404, "GET", "/kv-key?key=none", ""},
            {404, "POST", "/kv-keep/99", ""},
            {404, "GET", "/none", ""},
            {410, "GET", "/kv-watch?pathPrefix=op/&after=5000&waitMs=10", ""},
            {412, "POST", "/kv-txn", "{\"expectRev\":[{\"key\":\"none\",\"rev\":7}]}"},
        };
    }

    @Test(dataProvider = "calls")
    public void allResponsesHaveTheEra(int status, String method, String uri, String body) {
        Response before = call(method, uri, body);
        returnFromCopy(mStore.copy());
        Response after = call(method, uri, body);

        assertEquals(List.of(before.status(), after.status()), List.of(status, status));
        assertEquals(List.of(before.era(), after.era()), List.of("1", "2"));
    }

    @Test
    public void rejectionsHaveTheEra() {
        mStore.setMode(KvStoreStandIn.Mode.REJECTING);

        assertEquals(call("GET", "/kv-key?key=none", "").era(), "1");
    }

    @Test
    public void sameRevisionIsIssuedAgainForOtherContent() {
        KvStoreStandIn.Copy copy = mStore.copy();
        mStore.put("op/config", "first");
        mStore.put("op/config", "second");
        JsonNode before = callForJson("GET", "/kv-key?key=op/config", "");

        returnFromCopy(copy);
        long rewritten = callForJson("GET", "/kv-key?key=op/config", "").path("rev").asLong();
        mStore.put("op/config", "third");
        JsonNode after = callForJson("GET", "/kv-key?key=op/config", "");

        assertEquals(rewritten, before.path("rev").asLong() - 1);
        assertEquals(after.path("rev").asLong(), before.path("rev").asLong());
        assertNotEquals(after.path("value").asText(), before.path("value").asText());
    }

    @Test
    public void leaseIsIssuedAgainToAnother() {
        long lasting = leaseAfterGrant();
        putWithLease("filbertrudder/lasting", lasting);
        KvStoreStandIn.Copy copy = mStore.copy();
        long lost = leaseAfterGrant();
        putWithLease("filbertrudder/lost", lost);

        returnFromCopy(copy);

        assertEquals(mStore.keys("filbertrudder/"), List.of("filbertrudder/lasting"));
        assertEquals(call("POST", "/kv-keep/" + lost, "").status(), 404);
        assertEquals(call("POST", "/kv-keep/" + lasting, "").status(), 200);
        assertEquals(leaseAfterGrant(), lost);
    }

    @Test
    public void pendingWatchEndsAndUnknownRevisionIsGone() {
        KvStoreStandIn.Copy copy = mStore.copy();
        mStore.put("op/config", "first");
        mStore.put("op/config", "second");
        long newest = callForJson("GET", "/kv-key?key=op/config", "").path("rev").asLong();
        String watch = "/kv-watch?pathPrefix=op/&waitMs=8000&after=" + newest;
        CompletableFuture<Response> pending = send("GET", watch, "");
        PlatformFleet.await("the watch is pending", () -> mStore.pendingWatches() == 1);

        returnFromCopy(copy);

        assertEquals(pending.join().status(), 410);
        assertEquals(call("GET", watch, "").status(), 410);
        assertEquals(
                call("GET", watch.replace("after=" + newest, "after=" + (newest - 1)), "").status(),
                200,
                "a revision that was issued again has a history");
    }

    @Test
    public void operatorsAndReplicasWriteAgain() {
        mStore.put("op/config", "first");
        mStore.put("op/evacuate/mtl-a", "{}");
        KvStoreStandIn.Copy copy = mStore.copy();
        mStore.put("op/config", "second");
        mStore.delete("op/evacuate/mtl-a");
        mStore.put("servers/i-1", "{}");

        mStore.restore(copy);
        List<String> lost = mStore.keys("");
        mStore.writeAgain();

        assertEquals(lost, List.of("op/config", "op/evacuate/mtl-a"));
        assertEquals(mStore.keys(""), List.of("op/config", "servers/i-1"));
        String value = callForJson("GET", "/kv-key?key=op/config", "").path("value").asText();
        assertTrue(value.equals("c2Vjb25k"), value);
    }

    /** Guards against calls that miss a value because the timer of its write is late. */
    @Test
    public void valueIsReadFromItsTimeOn() {
        long atMs = ArrivalLog.nowMs() + WRITE_DELAY_MS;
        mStore.putAt(atMs, "servers/late", "{}");
        long sentMs;
        int status;
        do {
            sentMs = ArrivalLog.nowMs();
            status = call("GET", "/kv-key?key=servers/late", "").status();
            if (ArrivalLog.nowMs() < atMs) {
                assertEquals(status, 404);
            }
        } while (sentMs < atMs);
        assertEquals(status, 200);
    }
}
