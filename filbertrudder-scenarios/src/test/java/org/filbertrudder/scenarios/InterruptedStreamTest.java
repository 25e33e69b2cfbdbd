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

/**
 * Tests that a caller receives the same bytes as directly from an engine when the engine's
 * connection breaks after any byte of a stream.
 */
public class InterruptedStreamTest {

    private static final int TOKENS = 2;
    private static final int NO_TRUNCATION = -1;
    private static final int MAX_ATTEMPTS_PER_OFFSET = 10;
    private static final int ENGINE_TOKENS_PER_SECOND = 1_000;
    private static final int ENGINE_SLOTS = 8;

    private Fleet mFleet;

    @BeforeClass
    public void start() {
        Path logDirectory = Path.of("target", "scenario-logs", "interrupted-streams");
        FleetOptions options =
                FleetOptions.of(3).withEngines(ENGINE_TOKENS_PER_SECOND, ENGINE_SLOTS);
        mFleet = Fleet.start(Deployment.UTRECHT, options, logDirectory);
        mFleet.scaleContracts(100);
        // Every request of this test needs a retry, so the share of retries must not be limited.
        Inventory inventory = mFleet.initialInventory();
        Rules rules = inventory.rules().withRetryShare(1);
        mFleet.awaitRevision(mFleet.applyInventory(inventory.withRules(rules)));
        mFleet.awaitShardOwnership();
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        mFleet.close();
    }

    @DataProvider
    public Object[][] instancesAndAccounts() {
        return new Object[][] {{"noord-1", "federation"}, {"zuid-1", "youth"}};
    }

    @Test(dataProvider = "instancesAndAccounts")
    public void resumesAStreamThatBreaksAtAnyByte(String instance, String account) {
        String apiKey = mFleet.apiKeyOf(account);
        int length = responseOfEngine("Length 0000 " + instance + " 0").length();

        int failedAttempts = 0;
        for (int offset = 0; offset < length; offset++) {
            int attempt = 0;
            while (!isCompleteWhenBrokenAt(instance, apiKey, offset, attempt)) {
                attempt++;
                assertTrue(
                        attempt < MAX_ATTEMPTS_PER_OFFSET,
                        "no complete response when broken at byte " + offset);
            }
            failedAttempts += attempt;
        }

        assertTrue(
                failedAttempts <= length / 10,
                failedAttempts
                        + " of "
                        + length
                        + " requests ended with an error event or error response");
    }

    /** Returns whether the response was complete; fails if it was neither complete nor an error. */
    private boolean isCompleteWhenBrokenAt(
            String instance, String apiKey, int offset, int attempt) {
        String prompt = String.format("Length %04d %s %d", offset, instance, attempt);
        mFleet.endpoints().truncateNextStream(offset);
        Reply reply = mFleet.sendChat(instance, apiKey, prompt, TOKENS, true).join();
        mFleet.endpoints().truncateNextStream(NO_TRUNCATION);
        if (!reply.errorCode().isEmpty()) {
            awaitAvailableEngine(instance, apiKey);
            return false;
        }
        String body = reply.body();
        String expected = responseOfEngine(prompt);
        int errorIndex = body.indexOf("event: error");
        if (errorIndex < 0) {
            assertEquals(body, expected, "broken after byte " + offset);
            return true;
        }
        assertTrue(expected.startsWith(body.substring(0, errorIndex)), body);
        assertEquals(body.indexOf("event: ", errorIndex + 1), -1, body);
        return false;
    }

    private void awaitAvailableEngine(String instance, String apiKey) {
        Fleet.await(
                "an engine that is not backing off",
                15_000,
                () -> mFleet.sendChat(instance, apiKey, "Hello", 1, true).join().status() == 200);
    }

    private String responseOfEngine(String prompt) {
        String body = Fleet.chatBody(prompt, TOKENS, true);
        return mFleet.endpoints().callEngine(0, "POST", "/v1/chat/completions", body).body();
    }
}
