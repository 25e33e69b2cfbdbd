package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.After;
import io.cucumber.java.Scenario;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;

/** Gives the scenarios their steps about requests, keys and endpoints. */
public class FleetSteps {

    private final World mWorld;
    private List<Long> mStartedBefore = List.of();

    public FleetSteps(World world) {
        mWorld = world;
    }

    @After
    public void stopFleet(Scenario scenario) {
        if (mWorld.fleet() != null) {
            mWorld.fleet().close();
        }
    }

    @Given("a {word} fleet of {int} instances")
    public void startFleet(String deployment, int instances) {
        Path logs = Path.of("target", "scenario-logs", Long.toString(System.nanoTime()));
        mWorld.setFleet(
                Fleet.start(
                        Deployment.valueOf(deployment.toUpperCase(Locale.ROOT)), instances, logs));
        mWorld.fleet().awaitShards();
    }

    @Given("a key {string} of {string}")
    public void issueKey(String name, String account) {
        mWorld.keys().put(name, mWorld.fleet().issueKey(account));
    }

    @When("{string} asks {string} for {int} tokens")
    public void ask(String key, String instance, int tokens) {
        mWorld.setReply(
                mWorld.fleet()
                        .chat(instance, mWorld.key(key), "Summarise the rulebook", tokens, false)
                        .join());
    }

    @When("{string} streams {int} tokens from {string}")
    public void stream(String key, int tokens, String instance) {
        long before = mWorld.fleet().endpoints().tokensWritten();
        mWorld.running()
                .add(
                        mWorld.fleet()
                                .chat(
                                        instance,
                                        mWorld.key(key),
                                        "A story " + tokens,
                                        tokens,
                                        true));
        Fleet.await(
                "a stream at " + instance,
                World.START_TIMEOUT_MS,
                () ->
                        mWorld.fleet().endpoints().tokensWritten()
                                >= before + World.TOKENS_BEFORE_NEXT_STEP);
    }

    @When("{string} streams {int} tokens from each instance, {int} at a time")
    public void streamEverywhere(String key, int tokens, int number) {
        for (String id : mWorld.fleet().entries()) {
            for (int i = 0; i < number; i++) {
                mWorld.running()
                        .add(
                                mWorld.fleet()
                                        .chat(
                                                id,
                                                mWorld.key(key),
                                                "Story " + i + id,
                                                tokens,
                                                true));
            }
            Fleet.await(
                    "streams at " + id,
                    World.START_TIMEOUT_MS,
                    () -> mWorld.fleet().runningAt(id) >= number);
        }
    }

    @Then("the answer is whole")
    public void answerIsWhole() {
        assertEquals(mWorld.reply().status(), 200, mWorld.reply().body());
        assertTrue(mWorld.reply().body().contains("total_tokens"), mWorld.reply().body());
    }

    @Then("the refusal is {string} and says not run: {word}")
    public void refusalIs(String code, String notRun) {
        assertEquals(mWorld.reply().code(), code, mWorld.reply().body());
        assertEquals(mWorld.reply().saysNotRun(), notRun.equals("true"), mWorld.reply().body());
    }

    @Then("all streams are whole")
    public void streamsAreWhole() {
        for (CompletableFuture<Reply> running : mWorld.running()) {
            Reply reply = running.join();
            assertEquals(reply.status(), 200, reply.body());
            assertTrue(reply.body().endsWith("data: [DONE]\n\n"), tail(reply));
            assertFalse(reply.body().contains("event: error"), tail(reply));
        }
    }

    private static String tail(Reply reply) {
        return reply.body().substring(Math.max(0, reply.body().length() - 300));
    }

    @Then("the stream ends with {string}")
    public void streamEndsWith(String code) {
        Reply reply = mWorld.running().get(0).join();
        assertTrue(tail(reply).contains("\"code\":\"" + code + "\""), tail(reply));
        assertEquals(reply.body().split("event: error").length, 2, "typed events: " + tail(reply));
    }

    @Then("only engines of {string} have run requests")
    public void onlyEnginesOf(String region) {
        List<String> regions = mWorld.fleet().deployment().regions();
        List<JsonNode> stats = mWorld.fleet().endpoints().engineStats();
        for (int i = 0; i < stats.size(); i++) {
            String here = regions.get(i % regions.size());
            if (!here.equals(region)) {
                assertEquals(stats.get(i).path("started").asInt(), 0, "engine " + i);
            }
        }
    }

    @When("the key {string} is withdrawn through {string}")
    public void withdraw(String key, String instance) {
        String id = mWorld.keys().get(key).id();
        Reply reply = mWorld.fleet().admin(instance, "DELETE", "/keys/" + id, null);
        assertEquals(reply.status(), 200, reply.body());
    }

    @Then("within {int} seconds every instance refuses {string}")
    public void everyInstanceRefuses(int seconds, String key) {
        for (String id : mWorld.fleet().entries()) {
            Fleet.await(
                    "refusal at " + id,
                    seconds * 1_000L,
                    () ->
                            mWorld.fleet()
                                            .chat(id, mWorld.key(key), "hello", 1, false)
                                            .join()
                                            .status()
                                    == 401);
        }
    }

    @Then("no endpoint has seen a key")
    public void noEndpointHasSeenAKey() {
        for (JsonNode stats : mWorld.fleet().endpoints().engineStats()) {
            assertEquals(stats.path("credentials").size(), 0, stats.toString());
            assertFalse(stats.path("headerNames").toString().contains("authorization"));
        }
    }

    @When("the other regions and the platform stop answering {string}")
    public void cutOff(String region) {
        for (String id : mWorld.fleet().entries()) {
            if (!mWorld.fleet().entriesIn(region).contains(id)) {
                mWorld.fleet().process(id).signal("STOP");
            }
        }
        mWorld.fleet().platform().signal("STOP");
    }

    @Then("{string} gets whole answers from {string} for {int} seconds")
    public void keepsServing(String key, String instance, int seconds) {
        long untilNs = System.nanoTime() + seconds * 1_000_000_000L;
        int answers = 0;
        while (System.nanoTime() < untilNs) {
            Reply reply =
                    mWorld.fleet().chat(instance, mWorld.key(key), "Still there?", 2, false).join();
            assertEquals(reply.status(), 200, "after " + answers + " answers: " + reply.body());
            answers++;
        }
    }

    @When("the engines count their requests")
    public void countRequests() {
        mStartedBefore =
                mWorld.fleet().endpoints().engineStats().stream()
                        .map(stats -> stats.path("started").asLong())
                        .toList();
    }

    @When("engine {int} reports that it is leaving")
    public void engineLeaves(int number) {
        mWorld.fleet().endpoints().engine(number, "POST", "/standin/leaving", "{\"leaving\":true}");
    }

    @When("the live list shows endpoint {string} as leaving")
    public void liveListShowsLeaving(String endpoint) {
        mWorld.fleet().platform().setLive(endpoint, "LEAVING", "");
    }

    @When("{int} seconds pass")
    public void pass(int seconds) throws InterruptedException {
        Thread.sleep(seconds * 1_000L);
    }

    @When("{string} sends {int} requests to each instance")
    public void sendMany(String key, int requests) {
        List<CompletableFuture<Reply>> replies = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            for (String id : mWorld.fleet().entries()) {
                replies.add(mWorld.fleet().chat(id, mWorld.key(key), "Request " + i, 1, false));
            }
        }
        for (CompletableFuture<Reply> reply : replies) {
            assertEquals(reply.join().status(), 200, reply.join().body());
        }
    }

    @Then("engine {int} has got no new request")
    public void noNewRequest(int number) {
        long now = mWorld.fleet().endpoints().engineStats().get(number).path("started").asLong();
        assertEquals(now, mStartedBefore.get(number).longValue());
    }
}
