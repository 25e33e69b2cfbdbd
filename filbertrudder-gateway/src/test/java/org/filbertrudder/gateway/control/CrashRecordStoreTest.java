package org.filbertrudder.gateway.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.StoreEra;
import org.filbertrudder.model.message.CrashRecord;
import org.filbertrudder.model.message.PeerMessage;
import org.filbertrudder.policy.retry.RequestDigest;
import org.filbertrudder.policy.retry.SuspectRequests;
import org.filbertrudder.policy.retry.SuspectRequests.Decision;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that refused requests are stored and read, also by a store with faults. */
public class CrashRecordStoreTest {

    private static final int MAX_CRASHES = 3;
    private static final RequestDigest REQUEST = new RequestDigest(AccountId.of("club"), "bad");
    private static final RequestDigest OTHER = new RequestDigest(AccountId.of("club"), "other");

    private Vertx mVertx;
    private Context mContext;
    private List<CrashRecord> mStored;
    private long mRevision;
    private int mWrites;
    private boolean mFails;
    private StoreEra mEra;
    private long mNowMs;

    @BeforeClass
    public void startVertx() {
        mVertx = Vertx.vertx();
        mContext = mVertx.getOrCreateContext();
    }

    @AfterClass
    public void stopVertx() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    @BeforeMethod
    public void emptyStore() {
        mStored = List.of();
        mRevision = 0;
        mWrites = 0;
        mFails = false;
        mEra = StoreEra.UNREPORTED;
        mNowMs = Clocks.steadyMs();
    }

    /** Returns a source of which only the calls about records of crashes are used. */
    private StateSource source() {
        return (StateSource)
                Proxy.newProxyInstance(
                        StateSource.class.getClassLoader(),
                        new Class<?>[] {StateSource.class},
                        (proxy, method, arguments) ->
                                switch (method.getName()) {
                                    case "era" -> mEra;
                                    case "readCrashRecords" -> call(this::read);
                                    case "writeCrashRecords" ->
                                            call(() -> write(arguments[0], (long) arguments[1]));
                                    default -> throw new AssertionError(method);
                                });
    }

    private Uni<StoredCrashRecords> call(Supplier<StoredCrashRecords> action) {
        return mFails
                ? Uni.createFrom().failure(new IllegalStateException("down"))
                : Uni.createFrom().item(action.get());
    }

    private StoredCrashRecords read() {
        return new StoredCrashRecords(mRevision, mStored, false);
    }

    private StoredCrashRecords write(Object records, long revision) {
        if (revision != mRevision) {
            return read();
        }
        mStored = new ArrayList<>();
        ((List<?>) records).forEach(each -> mStored.add((CrashRecord) each));
        mWrites++;
        mRevision++;
        return new StoredCrashRecords(mRevision, mStored, true);
    }

    private static SuspectRequests newRequests() {
        return new SuspectRequests(1_000, 3_600_000, MAX_CRASHES);
    }

    private SuspectRequests refusing(RequestDigest request) {
        SuspectRequests requests = newRequests();
        for (int i = 0; i < MAX_CRASHES; i++) {
            requests.recordCrash(
                    new PeerMessage.CrashReport(
                            request.account(),
                            request.bodySha256(),
                            EndpointId.of("e-" + i),
                            i,
                            false),
                    mNowMs);
        }
        return requests;
    }

    /** Lets time pass until all calls that are due have been made. */
    private void run(CrashRecordStore store, boolean isWriter) {
        for (int i = 0; i < 5; i++) {
            mNowMs += 3_000;
            CompletableFuture<Void> done = new CompletableFuture<>();
            mContext.runOnContext(
                    ignored -> {
                        store.tick(() -> isWriter, mNowMs);
                        mContext.runOnContext(alsoIgnored -> done.complete(null));
                    });
            done.join();
        }
    }

    private Decision decisionAfterStart() {
        SuspectRequests requests = newRequests();
        CrashRecordStore store = new CrashRecordStore(mContext, source(), requests);
        run(store, false);
        assertTrue(store.isRead());
        return requests.decisionFor(REQUEST, mNowMs);
    }

    @Test
    public void refusedRequestIsReadAtTheNextStart() {
        run(new CrashRecordStore(mContext, source(), refusing(REQUEST)), true);

        assertEquals(decisionAfterStart(), Decision.REFUSED);
        assertEquals(mWrites, 1);
    }

    /** Guards against calls that the platform charges for although there is nothing to store. */
    @Test
    public void instanceWithoutRefusedRequestsWrites() {
        run(new CrashRecordStore(mContext, source(), newRequests()), true);
        run(new CrashRecordStore(mContext, source(), refusing(REQUEST)), false);

        assertEquals(mWrites, 0);
    }

    /** Guards against a second writer, as of another partition, that replaces what it never saw. */
    @Test
    public void secondWriterReplacesTheRecordsOfTheFirst() {
        CrashRecordStore second = new CrashRecordStore(mContext, source(), refusing(OTHER));
        run(second, false);
        run(new CrashRecordStore(mContext, source(), refusing(REQUEST)), true);

        run(second, true);

        assertEquals(mStored.size(), 2);
    }

    /** Guards against a request that is forgotten as the store was down when it was refused. */
    @Test
    public void writeThatFailsIsNotRepeated() {
        CrashRecordStore store = new CrashRecordStore(mContext, source(), refusing(REQUEST));
        run(store, false);
        mFails = true;
        run(store, true);
        assertEquals(mWrites, 0);
        mFails = false;

        run(store, true);

        assertEquals(decisionAfterStart(), Decision.REFUSED);
    }

    /** Guards against a start that goes on although the store has not been read. */
    @Test
    public void failedReadCountsAsRead() {
        mFails = true;
        CrashRecordStore store = new CrashRecordStore(mContext, source(), newRequests());
        run(store, false);

        assertFalse(store.isRead());
    }

    /** Guards against a store that has returned from a copy without the records. */
    @Test
    public void recordsAreMissingInAnOlderCopy() {
        mEra = new StoreEra(1);
        CrashRecordStore store = new CrashRecordStore(mContext, source(), refusing(REQUEST));
        run(store, true);
        mStored = List.of();
        mRevision = 0;
        mEra = new StoreEra(2);

        run(store, true);

        assertEquals(decisionAfterStart(), Decision.REFUSED);
    }

    /** Guards against a sound request that is refused again by each instance that starts. */
    @Test
    public void answeredRequestStaysInTheStore() {
        SuspectRequests requests = refusing(REQUEST);
        CrashRecordStore store = new CrashRecordStore(mContext, source(), requests);
        run(store, true);
        requests.recordAnswer(REQUEST, mNowMs);

        run(store, true);

        assertEquals(decisionAfterStart(), Decision.UNRESTRICTED);
    }
}
