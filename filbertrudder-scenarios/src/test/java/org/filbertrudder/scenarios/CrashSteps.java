package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Gives the scenarios their steps about crashing engines. */
public class CrashSteps {

    private final World mWorld;

    public CrashSteps(World world) {
        mWorld = world;
    }

    @When("an engine that runs a stream crashes")
    public void crashRunningEngine() {
        int[] engine = {-1};
        Fleet.await(
                "an engine that runs a stream",
                World.START_TIMEOUT_MS,
                () -> {
                    engine[0] = runningEngine();
                    return engine[0] >= 0;
                });
        mWorld.fleet().endpoints().engine(engine[0], "POST", "/standin/crash", "{}");
        Fleet.await("the crash", World.START_TIMEOUT_MS, () -> runningEngine() != engine[0]);
    }

    private int runningEngine() {
        List<JsonNode> stats = mWorld.fleet().endpoints().engineStats();
        for (int i = 0; i < stats.size(); i++) {
            if (stats.get(i).path("running").asInt() > 0) {
                return i;
            }
        }
        return -1;
    }

    @Then("the stream has the same text as one without a crash")
    public void sameText() {
        Reply broken = mWorld.running().get(0).join();
        String key = mWorld.keys().values().iterator().next().text();
        int tokens = (int) broken.body().lines().filter(l -> l.startsWith("data: {")).count();
        Reply whole =
                mWorld.fleet()
                        .chat(mWorld.fleet().anyEntry(), key, "A story " + tokens, tokens, true)
                        .join();
        assertEquals(broken.body(), whole.body());
    }

    @When("{string} sends a crashing request through every instance, {int} time(s)")
    public void sendCrashing(String key, int times) {
        for (int i = 0; i < times; i++) {
            for (String id : mWorld.fleet().entries()) {
                mWorld.setReply(
                        mWorld.fleet()
                                .chat(id, mWorld.key(key), "CRASH-THE-ENGINE", 8, false)
                                .join());
            }
        }
    }

    @When("{string} sends {int} copies of a crashing request through every instance at once")
    public void sendCopies(String key, int copies) {
        List<CompletableFuture<Reply>> replies = new ArrayList<>();
        for (String id : mWorld.fleet().entries()) {
            for (int i = 0; i < copies; i++) {
                replies.add(mWorld.fleet().chat(id, mWorld.key(key), "CRASH-THE-ENGINE", 8, false));
            }
        }
        replies.forEach(reply -> mWorld.setReply(reply.join()));
    }

    @Then("at most {int} engines have crashed")
    public void crashes(int most) {
        long crashes =
                mWorld.fleet().endpoints().engineStats().stream()
                        .mapToLong(stats -> stats.path("crashes").asLong())
                        .sum();
        assertTrue(crashes <= most, "crashes: " + crashes);
    }
}
