package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;

import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests an instance whose standard error is a pipe that nobody reads. */
public class UnreadLogTest {

    private static final String INSTANCE = "mtl-unread";

    /** Together, the log lines of these refusals do not fit into a pipe. */
    private static final int REFUSED_REQUESTS = 1_000;

    private static final long GRACE_MS = 4_000;
    private static final long EXIT_TOLERANCE_MS = 4_000;
    private static final int TOO_MANY_TOKENS = 900_000;

    private Fleet mFleet;

    @BeforeClass
    public void startFleet() {
        mFleet = Fleet.start(Deployment.BUREAU, 3, Path.of("target", "unread-log-logs"));
        mFleet.awaitShardOwnership();
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        if (mFleet != null) {
            mFleet.close();
        }
    }

    @Test(timeOut = 60_000)
    public void instanceStopsAnsweringWhenNobodyReadsItsLog() throws Exception {
        String apiKey = mFleet.apiKeyOf("federation");
        Path pipe = mFleet.logDirectory().resolve(INSTANCE + ".log");
        Files.deleteIfExists(pipe);
        Process mkfifo = new ProcessBuilder("mkfifo", pipe.toString()).start();
        assertEquals(mkfifo.waitFor(), 0);
        try (RandomAccessFile reader = new RandomAccessFile(pipe.toFile(), "rw")) {
            mFleet.startInstance(
                    INSTANCE, "mtl", 1, List.of("--drain-timeout-ms", Long.toString(GRACE_MS)));
            mFleet.awaitRevision(mFleet.revisionAt("mtl-1"));
            String body = Fleet.chatBody("Hello", TOO_MANY_TOKENS, false);
            for (int i = 0; i < REFUSED_REQUESTS; i++) {
                Reply reply =
                        mFleet.sendToCallerPort(
                                INSTANCE,
                                "POST",
                                "/v1/chat/completions",
                                Map.of(
                                        "authorization",
                                        "Bearer " + apiKey,
                                        "content-type",
                                        "application/json"),
                                body);
                assertEquals(reply.errorCode(), "exceeds_burst", i + ": " + reply.body());
            }
            mFleet.process(INSTANCE).terminate();

            assertEquals(mFleet.process(INSTANCE).awaitExit(GRACE_MS + EXIT_TOLERANCE_MS), 0);
        }
    }
}
