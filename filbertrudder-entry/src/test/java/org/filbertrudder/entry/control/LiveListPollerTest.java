package org.filbertrudder.entry.control;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.store.PlatformDirectory;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that an odd entry of the live list does not hide the others. */
public class LiveListPollerTest {

    private static final int NESTING = 100_000;
    private static final long CALL_TIMEOUT_MS = 5_000;
    private static final String SOUND_ENTRIES =
            """
            {"id":"i-1","state":"LIVE","address":"10.0.0.1:7000"},
            {"id":"e-1","state":"LEAVING","address":""}\
            """;

    private Vertx mVertx;
    private HttpServer mServer;
    private volatile String mList;

    @BeforeMethod
    public void startServer() {
        mVertx = Vertx.vertx();
        mServer = mVertx.createHttpServer().requestHandler(each -> each.response().end(mList));
        mServer.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
    }

    @AfterMethod(alwaysRun = true)
    public void stopServer() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Lists entries that another writer may leave in the list. */
    @DataProvider
    public Object[][] oddEntries() {
        return new Object[][] {
            {"null"},
            {"7"},
            {"[]"},
            {"{}"},
            {"[".repeat(NESTING) + "]".repeat(NESTING)},
            {"{\"a\":".repeat(NESTING) + "1" + "}".repeat(NESTING)},
            {"{\"id\":" + "9".repeat(400) + ",\"state\":\"LIVE\",\"address\":\"\"}"},
            {"{\"id\":\"o\",\"state\":1e999999999,\"address\":\"\"}"},
            {"{\"id\":\"o\",\"state\":\"GONE\",\"address\":\"\"}"},
            {"{\"id\":\"o\",\"state\":\"LIVE\",\"address\":\"10.0.0.1:65536\"}"},
            {"{\"id\":\"o\",\"state\":\"LIVE\",\"address\":\"10.0.0.1:-1\"}"},
            {"{\"id\":\"o\",\"state\":\"LIVE\",\"address\":\":80\"}"},
            {"{\"id\":\"o o\",\"state\":\"LEAVING\",\"address\":\"\"}"},
            {"{\"id\":\"\",\"state\":\"LEAVING\",\"address\":\"\"}"},
            {"{\"id\":\"o\",\"state\":\"LIVE\",\"address\":\"\",\"more\":[{}]}"},
        };
    }

    @Test(dataProvider = "oddEntries")
    public void oddEntryHidesTheOthers(String entry) throws Exception {
        mList = "[" + entry + "," + SOUND_ENTRIES + "]";
        Context context = mVertx.getOrCreateContext();
        CompletableFuture<Void> changed = new CompletableFuture<>();
        LiveListPoller poller =
                new LiveListPoller(
                        context,
                        InstanceId.of("i-1"),
                        new PlatformDirectory(
                                mVertx, "127.0.0.1", mServer.actualPort(), CALL_TIMEOUT_MS),
                        () -> 1_000,
                        () -> changed.complete(null));

        context.runOnContext(ignored -> poller.tick(1, 1_000));
        changed.get(10, TimeUnit.SECONDS);

        assertEquals(poller.leavingEndpoints(), Set.of(EndpointId.of("e-1")));
        assertEquals(poller.peerAddresses(), List.of(new PeerAddress("10.0.0.1", 7_000)));
    }
}
