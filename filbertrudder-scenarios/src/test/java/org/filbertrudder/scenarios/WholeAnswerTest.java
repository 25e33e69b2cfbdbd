package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import org.filbertrudder.model.Inventory;
import org.filbertrudder.model.Rules;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Breaks streams at every byte; the caller must get the same bytes as from an engine itself. */
public class WholeAnswerTest {

    private static final int TOKENS = 2;
    private static final int NEVER = -1;
    private static final int MAX_ATTEMPTS = 10;
    private static final int FAST_TOKENS_PER_SECOND = 1_000;
    private static final int SLOTS = 8;

    private Fleet mFleet;

    @BeforeClass
    public void start() {
        Path logDirectory = Path.of("target", "scenario-logs", "whole-answers");
        FleetOptions options = FleetOptions.of(3).withEngines(FAST_TOKENS_PER_SECOND, SLOTS);
        mFleet = Fleet.start(Deployment.UTRECHT, options, logDirectory);
        mFleet.scaleContracts(100);
        // Every request here needs a retry, so their share must not be limited.
        Inventory inventory = mFleet.inventory();
        Rules rules = inventory.rules().withRetryShare(1);
        mFleet.awaitRevision(mFleet.apply(inventory.withRules(rules)));
        mFleet.awaitShardOwnership();
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        mFleet.close();
    }

    @DataProvider
    public Object[][] instances() {
        return new Object[][] {{"noord-1", "federation"}, {"zuid-1", "youth"}};
    }

    @Test(dataProvider = "instances")
    public void aStreamBrokenAtAnyByteIsWhole(String instance, String account) {
        String key = mFleet.apiKeyOf(account);
        int length = fromEngine("Length 0000 " + instance + " 0").length();

        int repeats = 0;
        for (int offset = 0; offset < length; offset++) {
            int attempt = 0;
            while (!isWholeWhenBroken(instance, key, offset, attempt)) {
                attempt++;
                assertTrue(attempt < MAX_ATTEMPTS, "never whole when broken at " + offset);
            }
            repeats += attempt;
        }

        assertTrue(repeats <= length / 10, repeats + " of " + length + " ended in a typed error");
    }

    /** Returns whether the answer was whole; fails if it was neither that nor a typed error. */
    private boolean isWholeWhenBroken(String instance, String key, int offset, int attempt) {
        String prompt = String.format("Length %04d %s %d", offset, instance, attempt);
        mFleet.endpoints().breakNextStream(offset);
        Reply reply = mFleet.chat(instance, key, prompt, TOKENS, true).join();
        mFleet.endpoints().breakNextStream(NEVER);
        if (!reply.errorCode().isEmpty()) {
            awaitAnEngine(instance, key);
            return false;
        }
        String body = reply.body();
        String expected = fromEngine(prompt);
        int error = body.indexOf("event: error");
        if (error < 0) {
            assertEquals(body, expected, "broken after byte " + offset);
            return true;
        }
        assertTrue(expected.startsWith(body.substring(0, error)), body);
        assertEquals(body.indexOf("event: ", error + 1), -1, body);
        return false;
    }

    private void awaitAnEngine(String instance, String key) {
        Fleet.await(
                "an engine that does not rest",
                15_000,
                () -> mFleet.chat(instance, key, "Hello", 1, true).join().status() == 200);
    }

    private String fromEngine(String prompt) {
        String body = Fleet.chatBody(prompt, TOKENS, true);
        return mFleet.endpoints().callEngine(0, "POST", "/v1/chat/completions", body).body();
    }
}
