package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Step definitions for crashing engines. */
public class CrashSteps {

    private final ScenarioContext mContext;

    public CrashSteps(ScenarioContext context) {
        mContext = context;
    }

    @When("an engine that serves a stream crashes")
    public void crashServingEngine() {
        int[] engine = {-1};
        Fleet.await(
                "an engine that serves a stream",
                ScenarioContext.REQUEST_START_TIMEOUT_MS,
                () -> {
                    engine[0] = findServingEngine();
                    return engine[0] >= 0;
                });
        mContext.fleet().endpoints().callEngine(engine[0], "POST", "/standin/crash", "{}");
        Fleet.await(
                "the crash of the engine",
                ScenarioContext.REQUEST_START_TIMEOUT_MS,
                () -> findServingEngine() != engine[0]);
    }

    private int findServingEngine() {
        List<JsonNode> stats = mContext.fleet().endpoints().engineStats();
        for (int i = 0; i < stats.size(); i++) {
            if (stats.get(i).path("running").asInt() > 0) {
                return i;
            }
        }
        return -1;
    }

    @Then("the stream has the same content as a stream without a crash")
    public void contentIsUnaffectedByCrash() {
        Reply interrupted = mContext.pendingReplies().get(0).join();
        String apiKey = mContext.issuedKeys().values().iterator().next().apiKey();
        int tokens =
                (int) interrupted.body().lines().filter(line -> line.startsWith("data: {")).count();
        Reply uninterrupted =
                mContext.fleet()
                        .sendChat(
                                mContext.fleet().anyRunningInstance(),
                                apiKey,
                                "A story " + tokens,
                                tokens,
                                true)
                        .join();
        assertEquals(interrupted.body(), uninterrupted.body());
    }

    @When("{string} sends an engine-crashing request through every instance, {int} time(s)")
    public void sendCrashingRequest(String keyName, int times) {
        for (int i = 0; i < times; i++) {
            for (String id : mContext.fleet().instanceIds()) {
                mContext.setLastReply(
                        mContext.fleet()
                                .sendChat(
                                        id, mContext.apiKey(keyName), "CRASH-THE-ENGINE", 8, false)
                                .join());
            }
        }
    }

    @When("{string} concurrently sends {int} engine-crashing requests through every instance")
    public void sendCrashingRequestsConcurrently(String keyName, int requests) {
        List<CompletableFuture<Reply>> replies = new ArrayList<>();
        for (String id : mContext.fleet().instanceIds()) {
            for (int i = 0; i < requests; i++) {
                replies.add(
                        mContext.fleet()
                                .sendChat(
                                        id,
                                        mContext.apiKey(keyName),
                                        "CRASH-THE-ENGINE",
                                        8,
                                        false));
            }
        }
        replies.forEach(reply -> mContext.setLastReply(reply.join()));
    }

    @Then("at most {int} engines have crashed")
    public void enginesCrashedAtMost(int maxCrashes) {
        long crashes =
                mContext.fleet().endpoints().engineStats().stream()
                        .mapToLong(stats -> stats.path("crashes").asLong())
                        .sum();
        assertTrue(crashes <= maxCrashes, "crashes: " + crashes);
    }
}
