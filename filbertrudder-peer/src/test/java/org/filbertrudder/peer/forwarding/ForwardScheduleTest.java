package org.filbertrudder.peer.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests forwarded requests on schedules of faults, on a virtual clock. */
public class ForwardScheduleTest {

    private static final int SEEDS = 1_500;

    private static final int FREEZE_SEEDS = Integer.getInteger("forwards.freezeSeeds", 1_000);

    /**
     * Freezes that last longer in all may let a sender be without a link until its requests are
     * cancelled.
     */
    private static final long MIN_CUTTING_FREEZE_MS = 4_000;

    private static final long LOAD_MS = 12_000;
    private static final long SETTLED_MS = 90_000;
    private static final long RETAINED_BYTES = 8_000_000;

    /** The slots at which the exhaustive search injects faults, and the time between them. */
    private static final int SLOTS = 14;

    private static final long SLOT_MS = 110;

    private enum Fault {
        NONE,
        SILENT,
        SILENT_TO_RECEIVER,
        SILENT_TO_SENDER,
        RESET,
        CUT,
        RECEIVER_RESTARTS,
        SENDER_RESTARTS;

        void apply(SimulatedForwards forwards) {
            switch (this) {
                case SILENT -> forwards.silence(true, true);
                case SILENT_TO_RECEIVER -> forwards.silence(true, false);
                case SILENT_TO_SENDER -> forwards.silence(false, true);
                case RESET -> forwards.reset();
                case CUT -> forwards.cut(700);
                case RECEIVER_RESTARTS -> forwards.restartReceiver();
                case SENDER_RESTARTS -> forwards.restartSender();
                default -> {}
            }
        }
    }

    /** Lists pairs of faults, each of which is tried at all pairs of slots. */
    @DataProvider
    public Object[][] pairsOfFaults() {
        List<Object[]> pairs = new ArrayList<>();
        for (Fault first : Fault.values()) {
            for (Fault second : Fault.values()) {
                pairs.add(new Object[] {first, second});
            }
        }
        return pairs.toArray(Object[][]::new);
    }

    @Test(dataProvider = "pairsOfFaults")
    public void holdsForAllPairsOfFaults(Fault first, Fault second) {
        for (int firstSlot = 0; firstSlot < SLOTS; firstSlot++) {
            for (int secondSlot = firstSlot; secondSlot < SLOTS; secondSlot++) {
                SimulatedForwards forwards = new SimulatedForwards(true, RETAINED_BYTES);
                long startMs = forwards.nowMs();
                List<SimulatedRequest> requests = new ArrayList<>();
                forwards.at(startMs, () -> requests.add(forwards.request("a", 5, false)));
                forwards.at(startMs + 200, () -> requests.add(forwards.request("b", 3, false)));
                forwards.at(startMs + firstSlot * SLOT_MS, () -> first.apply(forwards));
                forwards.at(startMs + secondSlot * SLOT_MS + 30, () -> second.apply(forwards));
                forwards.runUntil(startMs + SETTLED_MS);
                check(
                        forwards,
                        requests,
                        first + "@" + firstSlot + " " + second + "@" + secondSlot);
            }
        }
    }

    /** Lists whether the receiver is of a release that resumes. */
    @DataProvider
    public Object[][] releases() {
        return new Object[][] {{true}, {false}};
    }

    @Test(dataProvider = "releases")
    public void holdsForSeededSchedules(boolean receiverResumes) {
        long complete = 0;
        long total = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            SimulatedForwards forwards = new SimulatedForwards(receiverResumes, RETAINED_BYTES);
            long startMs = forwards.nowMs();
            List<SimulatedRequest> requests = new ArrayList<>();
            int count = 2 + random.nextInt(12);
            for (int i = 0; i < count; i++) {
                addRequest(forwards, random, startMs, requests, "r" + i);
            }
            Fault[] kinds = Fault.values();
            for (int i = random.nextInt(8); i > 0; i--) {
                Fault fault = kinds[random.nextInt(kinds.length)];
                forwards.at(startMs + random.nextLong(LOAD_MS), () -> fault.apply(forwards));
            }
            forwards.runUntil(startMs + LOAD_MS + SETTLED_MS);
            check(forwards, requests, "seed " + seed);
            complete += requests.stream().filter(request -> request.mEnds == 1).count();
            total += count;
        }
        assertTrue(complete > total / 2, "complete: " + complete + " of " + total);
    }

    /** Freezes, suspensions and stops that end by a kill come beside the faults of links. */
    @Test(dataProvider = "releases")
    public void holdsForSeededSchedulesOfFrozenProcesses(boolean receiverResumes) {
        long complete = 0;
        long total = 0;
        for (int seed = 0; seed < FREEZE_SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            SimulatedForwards forwards = new SimulatedForwards(receiverResumes, RETAINED_BYTES);
            long startMs = forwards.nowMs();
            List<SimulatedRequest> requests = new ArrayList<>();
            int count = 2 + random.nextInt(12);
            for (int i = 0; i < count; i++) {
                addRequest(forwards, random, startMs, requests, "r" + i);
            }
            Fault[] kinds = Fault.values();
            for (int i = random.nextInt(4); i > 0; i--) {
                Fault fault = kinds[random.nextInt(kinds.length)];
                forwards.at(startMs + random.nextLong(LOAD_MS), () -> fault.apply(forwards));
            }
            for (int i = 1 + random.nextInt(3); i > 0; i--) {
                addFreeze(forwards, random, startMs + random.nextLong(LOAD_MS));
            }
            if (random.nextInt(4) == 0) {
                long killAfterMs = random.nextLong(6_000);
                forwards.at(
                        startMs + random.nextLong(LOAD_MS),
                        () -> forwards.stopReceiver(killAfterMs));
            }
            forwards.runUntil(startMs + LOAD_MS + SETTLED_MS);
            check(forwards, requests, "seed " + seed);
            complete += requests.stream().filter(request -> request.mEnds == 1).count();
            total += count;
        }
        assertTrue(complete > total / 2, "complete: " + complete + " of " + total);
    }

    private static void addFreeze(
            SimulatedForwards forwards, SplittableRandom random, long freezeMs) {
        long forMs = random.nextInt(10) == 0 ? 15_000 : 150 + random.nextInt(3_000);
        boolean tickFirst = random.nextBoolean();
        boolean suspended = random.nextInt(3) == 0;
        boolean ofSender = random.nextBoolean();
        forwards.at(
                freezeMs,
                () -> {
                    if (ofSender) {
                        forwards.freezeSender(forMs, tickFirst, suspended);
                    } else {
                        forwards.freezeReceiver(forMs, tickFirst, suspended);
                    }
                });
    }

    private static void addRequest(
            SimulatedForwards forwards,
            SplittableRandom random,
            long startMs,
            List<SimulatedRequest> requests,
            String id) {
        int parts = random.nextInt(4) == 0 ? 3_000 : random.nextInt(60);
        long intervalMs = parts > 100 ? 1 : 1 + random.nextInt(150);
        boolean repeatable = random.nextBoolean();
        long cancelAfterMs = random.nextInt(6) == 0 ? random.nextLong(3_000) : -1;
        forwards.at(
                startMs + random.nextLong(LOAD_MS),
                () ->
                        forwards.inSender(
                                () -> {
                                    SimulatedRequest request =
                                            forwards.request(id, parts, repeatable);
                                    request.mPartIntervalMs = intervalMs;
                                    requests.add(request);
                                    if (cancelAfterMs >= 0) {
                                        forwards.at(
                                                forwards.nowMs() + cancelAfterMs,
                                                () -> forwards.inSender(request::cancel));
                                    }
                                }));
    }

    private static void check(
            SimulatedForwards forwards, List<SimulatedRequest> requests, String schedule) {
        for (SimulatedRequest request : requests) {
            String context = schedule + ": " + request + " " + forwards.log();
            assertEquals(request.violation(), "", context);
            assertTrue(request.isSettled(), "is settled, " + context);
            assertTrue(request.mOpenRuns.isEmpty() || request.mReceiverEnded, "ends, " + context);
            boolean mayBeUnknown =
                    !forwards.receiverResumes()
                            || request.mReceiverEnded
                            || forwards.frozenMs() > MIN_CUTTING_FREEZE_MS
                            || request.mRepeatable
                                    && (forwards.wasCut() || forwards.frozenMs() > 0);
            assertTrue(
                    mayBeUnknown || request.mFailure != ForwardListener.Failure.INTERRUPTED,
                    "is known, " + context);
        }
        assertTrue(forwards.maxRetainedBytes() <= RETAINED_BYTES);
    }

    /** Lists the faults of connections between two processes that live. */
    @DataProvider
    public Object[][] faultsOfConnections() {
        return new Object[][] {
            {Fault.SILENT}, {Fault.SILENT_TO_RECEIVER}, {Fault.SILENT_TO_SENDER}, {Fault.RESET}
        };
    }

    /** Guards against answers that are lost, or unknown, as one connection fell silent. */
    @Test(dataProvider = "faultsOfConnections")
    public void forwardEndsWithItsConnectionThoughBothInstancesLive(Fault fault) {
        for (int slot = 0; slot < SLOTS; slot++) {
            SimulatedForwards forwards = new SimulatedForwards(true, RETAINED_BYTES);
            long startMs = forwards.nowMs();
            SimulatedRequest request = forwards.request("a", 12, false);
            forwards.at(startMs + slot * SLOT_MS, () -> fault.apply(forwards));
            forwards.runUntil(startMs + SETTLED_MS);

            String context = "slot " + slot + ": " + request + " " + forwards.log();
            assertEquals(request.violation(), "", context);
            assertNotEquals(request.mFailure, ForwardListener.Failure.INTERRUPTED, context);
            assertTrue(
                    request.mEnds == 1 || request.mFailure == ForwardListener.Failure.NOT_RUN,
                    context);
        }
    }
}
