package org.filbertrudder.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.filbertrudder.model.StoreEra;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the outcome of a call is unknown if its response breaks off at any byte. */
public class CutEtcdResponseTest {

    private static final Duration AWAIT_LIMIT = Duration.ofSeconds(10);
    private static final long CALL_TIMEOUT_MS = 5_000;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n";

    private Vertx mVertx;
    private EtcdStore mStore;
    private volatile String mResponse;

    @BeforeClass
    public void startServer() {
        mVertx = Vertx.vertx();
        NetServer server = mVertx.createNetServer();
        server.connectHandler(
                socket ->
                        socket.handler(
                                request ->
                                        socket.write(mResponse)
                                                .onComplete(done -> socket.close())));
        server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
        mStore = new EtcdStore(mVertx, "127.0.0.1", server.actualPort(), CALL_TIMEOUT_MS);
    }

    @AfterClass(alwaysRun = true)
    public void stopServer() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Lists calls with the body of their response, and what they return. */
    private enum Call {
        LIST(
                "{\"kvs\":[{\"key\":\"aQ==\",\"value\":\"e30=\",\"mod_revision\":\"3\"}]}",
                store -> store.list("i").map(listing -> listing.items().size()),
                1),
        LEASE("{\"ID\":\"7\",\"TTL\":\"6\"}", store -> store.grantLease(6).map(StoreLease::id), 7L),
        KEEP(
                "{\"result\":{\"ID\":\"7\",\"TTL\":\"6\"}}",
                store -> store.renewLease(new StoreLease(7, StoreEra.UNREPORTED)),
                true),
        COMMIT(
                "{\"succeeded\":true}",
                store ->
                        store.commit(Transaction.builder().ifUnchanged("i", 3).build())
                                .map(TransactionResult::succeeded),
                true);

        private final String mBody;
        private final Function<EtcdStore, Uni<?>> mAction;
        private final Object mExpected;

        Call(String body, Function<EtcdStore, Uni<?>> action, Object expected) {
            mBody = body;
            mAction = action;
            mExpected = expected;
        }
    }

    /** Lists calls, and whether their response states its length. */
    @DataProvider
    public Object[][] responses() {
        List<Object[]> cases = new ArrayList<>();
        for (Call call : Call.values()) {
            cases.add(new Object[] {call, false});
            cases.add(new Object[] {call, true});
        }
        return cases.toArray(Object[][]::new);
    }

    @Test(dataProvider = "responses")
    public void cutResponseIsNoStoreFailure(Call call, boolean withLength) {
        String length = withLength ? "Content-Length: " + call.mBody.length() + "\r\n" : "";
        String response = HEAD + length + "\r\n" + call.mBody;
        for (int end = 0; end < response.length(); end++) {
            mResponse = response.substring(0, end);
            assertThrows(
                    StoreException.class,
                    () -> call.mAction.apply(mStore).await().atMost(AWAIT_LIMIT));
        }

        mResponse = response;
        assertEquals(call.mAction.apply(mStore).await().atMost(AWAIT_LIMIT), call.mExpected);
    }
}
