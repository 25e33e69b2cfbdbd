package org.filbertrudder.peer.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.regex.Pattern;
import org.testng.annotations.Test;

/** Tests that few retained bytes end only the responses that exceed them, with their link. */
public class ForwardRetentionTest {

    private static final int SEEDS = 300;
    private static final long LOAD_MS = 12_000;
    private static final long SETTLED_MS = 90_000;
    private static final long RETAINED_BYTES = 2_000;

    @Test
    public void responsesWithinTheBoundEndWithTheirLink() {
        int overTheBound = 0;
        int interrupted = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            SimulatedForwards forwards = new SimulatedForwards(true, RETAINED_BYTES);
            long startMs = forwards.nowMs();
            List<SimulatedRequest> requests = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                String id = "r" + i;
                int parts = random.nextInt(30);
                forwards.at(
                        startMs + random.nextLong(LOAD_MS),
                        () -> requests.add(forwards.request(id, parts, false)));
            }
            for (int i = 0; i < 4; i++) {
                boolean resets = random.nextBoolean();
                forwards.at(
                        startMs + random.nextLong(LOAD_MS),
                        () -> {
                            if (resets) {
                                forwards.reset();
                            } else {
                                forwards.silence(true, true);
                            }
                        });
            }
            forwards.runUntil(startMs + LOAD_MS + SETTLED_MS);

            for (SimulatedRequest request : requests) {
                String context = "seed " + seed + ": " + request + " " + forwards.log();
                boolean exceeds = exceedsBound(forwards, request);
                overTheBound += exceeds ? 1 : 0;
                interrupted += request.mFailure == ForwardListener.Failure.INTERRUPTED ? 1 : 0;
                assertEquals(request.violation(), "", context);
                assertTrue(request.isSettled(), "is settled, " + context);
                assertTrue(request.mOpenRuns.isEmpty(), "ends, " + context);
                assertTrue(
                        exceeds || request.mFailure != ForwardListener.Failure.INTERRUPTED,
                        "is known, " + context);
            }
            assertTrue(forwards.maxRetainedBytes() <= RETAINED_BYTES);
        }
        assertTrue(overTheBound > interrupted && interrupted > 0, overTheBound + " " + interrupted);
    }

    private static boolean exceedsBound(SimulatedForwards forwards, SimulatedRequest request) {
        Pattern stream = Pattern.compile("stream=" + request.mCall.stream() + "[,}]");
        return forwards.log().stream()
                .filter(event -> event.contains("can no longer move"))
                .anyMatch(event -> stream.matcher(event).find());
    }
}
