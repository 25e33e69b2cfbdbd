package org.filbertrudder.policy.retry;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.EndpointId;
import org.filbertrudder.model.message.PeerMessage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that crash reports which instances send on to each other come to an end. */
public class CrashReportFloodTest {

    private static final int INSTANCES = 12;
    private static final int NEIGHBOURS = 4;
    private static final int MAX_CRASHES = 3;
    private static final long CRASH_INTERVAL_MS = 4_000;

    /** A report on its way to an instance. */
    private record Delivery(int to, int from, PeerMessage.CrashReport report) {}

    /** Lists seeds and numbers of crashes of one request. */
    @DataProvider
    public Object[][] crashes() {
        List<Object[]> cases = new ArrayList<>();
        for (long seed = 1; seed <= 20; seed++) {
            cases.add(new Object[] {seed, (int) (1 + seed % 7)});
        }
        return cases.toArray(new Object[0][]);
    }

    @Test(dataProvider = "crashes")
    public void reportsOfACrashCirculateWithoutEnd(long seed, int crashes) {
        Random random = new Random(seed);
        List<SuspectRequests> instances = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            instances.add(new SuspectRequests(10, 60_000, MAX_CRASHES));
        }
        List<Delivery> inFlight = new ArrayList<>();
        for (int crash = 0; crash < crashes; crash++) {
            PeerMessage.CrashReport report =
                    new PeerMessage.CrashReport(
                            AccountId.of("club"),
                            "digest",
                            EndpointId.of("endpoint-" + crash),
                            crash * CRASH_INTERVAL_MS,
                            false);
            int origin = random.nextInt(INSTANCES);
            instances.get(origin).recordCrash(report, 0);
            sendOn(inFlight, origin, origin, report);
        }

        int bound = crashes * (INSTANCES + 1) * NEIGHBOURS * 2;
        int delivered = 0;
        while (!inFlight.isEmpty() && delivered <= bound) {
            Delivery next = inFlight.remove(random.nextInt(inFlight.size()));
            int copies = random.nextInt(4) == 0 ? 2 : 1;
            for (int copy = 0; copy < copies; copy++) {
                delivered++;
                if (instances.get(next.to()).recordCrash(next.report(), delivered)) {
                    sendOn(inFlight, next.to(), next.from(), next.report());
                }
            }
        }

        assertTrue(delivered <= bound, delivered + " deliveries and no end");
    }

    private static void sendOn(
            List<Delivery> inFlight, int instance, int except, PeerMessage.CrashReport report) {
        for (int i = 1; i <= NEIGHBOURS; i++) {
            int to = (instance + i * i) % INSTANCES;
            if (to != except) {
                inFlight.add(new Delivery(to, instance, report));
            }
        }
    }
}
