package org.filbertrudder.scenarios;

import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.concurrent.CompletableFuture;

/** Gives the scenarios their steps about rates. */
public class RateSteps {

    private final World mWorld;
    private Flood mFlood;

    public RateSteps(World world) {
        mWorld = world;
    }

    @Given("{string} has at least {int} tokens left in {string}")
    public void awaitLevel(String account, int tokens, String region) {
        Fleet.await("the level of " + account, 30_000, () -> level(account, region) >= tokens);
    }

    @Then("{string} has at most {int} tokens left in {string}")
    public void levelIsAtMost(String account, int tokens, String region) {
        double level = level(account, region);
        assertTrue(level <= tokens, "level " + level);
    }

    private double level(String account, String region) {
        JsonNode held =
                mWorld.fleet()
                        .dump(mWorld.fleet().holderOf(account, region))
                        .path("control")
                        .path("accountsHeld");
        for (JsonNode share : held) {
            if (share.path("account").asText().equals(account)) {
                return share.path("level").asDouble();
            }
        }
        return 0;
    }

    @When("{string} asks {string} for {int} tokens and leaves, {int} times")
    public void askAndLeave(String key, String instance, int tokens, int times) {
        String body =
                "{\"model\":\"small\",\"max_tokens\":"
                        + tokens
                        + ",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";
        String request =
                "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
                        + "content-type: application/json\r\nauthorization: Bearer "
                        + mWorld.key(key)
                        + "\r\ncontent-length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body;
        for (int i = 0; i < times; i++) {
            long before = mWorld.fleet().endpoints().tokensWritten();
            RawConnection.sendAndLeave(
                    mWorld.fleet().process(instance).port("callers"),
                    request,
                    () ->
                            Fleet.await(
                                    "tokens of the request",
                                    World.START_TIMEOUT_MS,
                                    () -> mWorld.fleet().endpoints().tokensWritten() > before));
        }
        Fleet.await(
                "the ends of the requests",
                World.START_TIMEOUT_MS,
                () -> mWorld.fleet().runningAt(instance) == 0);
    }

    @When("{string} floods all instances for {int} seconds with requests of {int} tokens")
    public void flood(String key, int seconds, int tokens) {
        mFlood = Flood.run(mWorld.fleet(), mWorld.key(key), seconds, tokens);
    }

    @Then("it has consumed at most {int} tokens a second and a burst of {int}")
    public void consumedAtMost(int rate, int burst) {
        double allowed = rate * mFlood.seconds() + burst;
        assertTrue(
                mFlood.tokens() <= allowed,
                "consumed " + mFlood.tokens() + " of " + allowed + " allowed");
    }

    @Then("it has consumed at least {int} tokens a second")
    public void consumedAtLeast(int rate) {
        assertTrue(
                mFlood.tokens() >= rate * mFlood.seconds(),
                "consumed " + mFlood.tokens() + " in " + mFlood.seconds() + " s");
    }

    @When("the holder of {string} in {string} is paused for {int} seconds during the flood")
    public void pauseHolder(String account, String region, int seconds) {
        String holder = mWorld.fleet().holderOf(account, region);
        CompletableFuture.runAsync(
                () -> {
                    mWorld.fleet().process(holder).signal("STOP");
                    try {
                        Thread.sleep(seconds * 1_000L);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    mWorld.fleet().process(holder).signal("CONT");
                });
    }
}
