package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.filbertrudder.standins.platform.ArrivalLog;
import org.filbertrudder.standins.platform.KvStoreStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the fleet follows the operators when the store returns from a copy. */
public class RestoredStoreTest {

    private static final String LASTING_KEY = "key-club";
    private static final String WITHDRAWN_KEY = "key-other";
    private static final String FIRST_PATH = "/stock/";
    private static final List<String> GATEWAYS = List.of("mtl-1", "mtl-2", "sag-1");
    private static final long PROBE_INTERVAL_MS = 120;
    private static final long OUTAGE_MS = 1_000;

    /** The time within which callers are served again after the store has returned. */
    private static final long RETURN_MS = 2_500;

    private PlatformFleet mFleet;
    private ConfigurationChecker mChecker;
    private volatile long mOutageMs;
    private volatile boolean mStopped;

    @BeforeMethod
    public void startFleet() {
        mOutageMs = Long.MAX_VALUE / 2;
        mStopped = false;
        mFleet = new PlatformFleet("mtl", "sag");
        mChecker = new ConfigurationChecker((instance, atMs) -> isOutage(atMs));
        changeConfiguration();
        for (String region : List.of("mtl", "sag")) {
            mFleet.startReplica("desk-" + region, PlatformFleet.BOOKING_SERVICE, region, 64);
        }
        GATEWAYS.forEach(gateway -> mFleet.startGateway(gateway, gateway.substring(0, 3)));
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        mFleet.close();
    }

    private boolean isOutage(long atMs) {
        return atMs > mOutageMs && atMs < mOutageMs + OUTAGE_MS + ConfigurationChecker.CONTACT_MS;
    }

    private void changeConfiguration() {
        long sentMs = ArrivalLog.nowMs();
        long version = mFleet.writeConfiguration(true);
        Set<String> paths = new HashSet<>(mFleet.addedRoutes());
        paths.add(FIRST_PATH);
        mChecker.recordVersion(version, paths, mFleet.accountByApiKey().keySet(), sentMs);
    }

    private void addRoute(String path) {
        mFleet.addedRoutes().add(path);
        changeConfiguration();
    }

    /** Lists how many changes follow the copy, and how long the operators take to write again. */
    @DataProvider
    public Object[][] losses() {
        return new Object[][] {{1, 0}, {2, 0}, {3, 0}, {3, 400}};
    }

    @Test(dataProvider = "losses")
    public void confirmedChangeIsNotInForceAfterTheStoreReturnsFromACopy(
            int lostChanges, long rewriteDelayMs) {
        List<CompletableFuture<Void>> callers = startCallers();
        long startMs = ArrivalLog.nowMs();
        KvStoreStandIn.Copy copy = mFleet.store().copy();
        for (int i = 1; i <= lostChanges; i++) {
            ArrivalLog.sleepUntil(startMs + i * 700);
            if (i == lostChanges) {
                mFleet.accountByApiKey().remove(WITHDRAWN_KEY);
            }
            addRoute("/lost-" + i + "/");
        }
        long outageMs = startMs + 4_000;
        ArrivalLog.sleepUntil(outageMs);
        returnFromCopy(copy, rewriteDelayMs);
        long returnedMs = ArrivalLog.nowMs();
        ArrivalLog.sleepUntil(returnedMs + 2_000);
        for (int i = 1; i < lostChanges; i++) {
            addRoute("/later-" + i + "/");
        }
        long endMs = ArrivalLog.nowMs() + 2 * ConfigurationChecker.CONFIGURATION_MS;
        ArrivalLog.sleepUntil(endMs);
        mStopped = true;
        callers.forEach(CompletableFuture::join);

        List<String> violations = mChecker.violations();
        assertTrue(violations.isEmpty(), describe(violations));
        double served =
                mChecker.servedRatio(FIRST_PATH, LASTING_KEY, returnedMs + RETURN_MS, endMs);
        assertTrue(served > 0.95, "served after the return: " + served);
    }

    /** Lists the first and the last violations, and their number. */
    private static String describe(List<String> violations) {
        int last = Math.max(0, violations.size() - 3);
        return violations.size()
                + " violations: "
                + violations.stream().limit(5).collect(Collectors.joining("; "))
                + " ... "
                + String.join("; ", violations.subList(last, violations.size()));
    }

    private void returnFromCopy(KvStoreStandIn.Copy copy, long rewriteDelayMs) {
        mOutageMs = ArrivalLog.nowMs();
        mFleet.store().setMode(KvStoreStandIn.Mode.REJECTING);
        ArrivalLog.sleepUntil(mOutageMs + OUTAGE_MS);
        mFleet.store().restore(copy);
        if (rewriteDelayMs == 0) {
            mFleet.store().writeAgain();
        }
        mFleet.store().setMode(KvStoreStandIn.Mode.SERVING);
        if (rewriteDelayMs > 0) {
            ArrivalLog.sleepUntil(ArrivalLog.nowMs() + rewriteDelayMs);
            mFleet.store().writeAgain();
        }
    }

    private List<CompletableFuture<Void>> startCallers() {
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (String gateway : GATEWAYS) {
            for (String key : List.of(LASTING_KEY, WITHDRAWN_KEY)) {
                callers.add(CompletableFuture.runAsync(() -> probe(gateway, key)));
            }
        }
        return callers;
    }

    /** Requests all paths that some version has had, one after the other. */
    private void probe(String gateway, String key) {
        PlatformClient client = mFleet.callerClient(gateway);
        long nextMs = ArrivalLog.nowMs();
        for (int i = 0; !mStopped; i++) {
            List<String> paths = new ArrayList<>(Set.copyOf(mFleet.addedRoutes()));
            paths.add(FIRST_PATH);
            String path = paths.get(i % paths.size());
            long sentMs = ArrivalLog.nowMs();
            int status = client.sendPlain("GET", path + "x", key).status();
            mChecker.recordProbe(gateway, path, key, sentMs, status);
            nextMs = Math.max(nextMs + PROBE_INTERVAL_MS, ArrivalLog.nowMs());
            ArrivalLog.sleepUntil(nextMs);
        }
    }
}
