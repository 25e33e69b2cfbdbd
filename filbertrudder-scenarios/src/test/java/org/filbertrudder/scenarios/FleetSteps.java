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

/** Step definitions for fleets, requests, API keys and endpoints. */
public class FleetSteps {

    private final ScenarioContext mContext;
    private List<Long> mRecordedRequestCounts = List.of();

    public FleetSteps(ScenarioContext context) {
        mContext = context;
    }

    @After
    public void stopFleet(Scenario scenario) {
        if (mContext.fleet() != null) {
            mContext.fleet().close();
        }
    }

    @Given("a {word} fleet of {int} instances")
    public void startFleet(String deployment, int instances) {
        Path logDirectory = Path.of("target", "scenario-logs", Long.toString(System.nanoTime()));
        mContext.setFleet(
                Fleet.start(
                        Deployment.valueOf(deployment.toUpperCase(Locale.ROOT)),
                        instances,
                        logDirectory));
        mContext.fleet().awaitShardOwnership();
    }

    @Given("an API key {string} of account {string}")
    public void issueKey(String name, String account) {
        mContext.issuedKeys().put(name, mContext.fleet().issueApiKey(account));
    }

    @When("{string} sends {string} a request for {int} tokens")
    public void requestTokens(String keyName, String instance, int tokens) {
        mContext.setLastReply(
                mContext.fleet()
                        .sendChat(
                                instance,
                                mContext.apiKey(keyName),
                                "Summarise the rulebook",
                                tokens,
                                false)
                        .join());
    }

    @When("{string} starts a stream of {int} tokens through {string}")
    public void startStream(String keyName, int tokens, String instance) {
        long tokensBefore = mContext.fleet().endpoints().generatedTokens();
        mContext.pendingReplies()
                .add(
                        mContext.fleet()
                                .sendChat(
                                        instance,
                                        mContext.apiKey(keyName),
                                        "A story " + tokens,
                                        tokens,
                                        true));
        Fleet.await(
                "a running stream at " + instance,
                ScenarioContext.REQUEST_START_TIMEOUT_MS,
                () ->
                        mContext.fleet().endpoints().generatedTokens()
                                >= tokensBefore + ScenarioContext.TOKENS_BEFORE_NEXT_STEP);
    }

    @When("{string} starts streams of {int} tokens through each instance, {int} per instance")
    public void startStreamsThroughAllInstances(String keyName, int tokens, int streams) {
        for (String id : mContext.fleet().instanceIds()) {
            for (int i = 0; i < streams; i++) {
                mContext.pendingReplies()
                        .add(
                                mContext.fleet()
                                        .sendChat(
                                                id,
                                                mContext.apiKey(keyName),
                                                "Story " + i + id,
                                                tokens,
                                                true));
            }
            Fleet.await(
                    "running streams at " + id,
                    ScenarioContext.REQUEST_START_TIMEOUT_MS,
                    () -> mContext.fleet().runningRequestsAt(id) >= streams);
        }
    }

    @Then("the response is complete")
    public void responseIsComplete() {
        assertEquals(mContext.lastReply().status(), 200, mContext.lastReply().body());
        assertTrue(
                mContext.lastReply().body().contains("total_tokens"), mContext.lastReply().body());
    }

    @Then("the request is rejected with {string} and not_run is {word}")
    public void requestIsRejected(String code, String notRun) {
        assertEquals(mContext.lastReply().errorCode(), code, mContext.lastReply().body());
        assertEquals(
                mContext.lastReply().reportsNotRun(),
                notRun.equals("true"),
                mContext.lastReply().body());
    }

    @Then("all streams complete without errors")
    public void streamsAreComplete() {
        for (CompletableFuture<Reply> pendingReply : mContext.pendingReplies()) {
            Reply reply = pendingReply.join();
            assertEquals(reply.status(), 200, reply.body());
            assertTrue(reply.body().endsWith("data: [DONE]\n\n"), lastCharacters(reply));
            assertFalse(reply.body().contains("event: error"), lastCharacters(reply));
        }
    }

    private static String lastCharacters(Reply reply) {
        return reply.body().substring(Math.max(0, reply.body().length() - 300));
    }

    @Then("the stream ends with the error {string}")
    public void streamEndsWithError(String code) {
        Reply reply = mContext.pendingReplies().get(0).join();
        assertTrue(
                lastCharacters(reply).contains("\"code\":\"" + code + "\""), lastCharacters(reply));
        assertEquals(
                reply.body().split("event: error").length,
                2,
                "error events: " + lastCharacters(reply));
    }

    @Then("only engines in region {string} have executed requests")
    public void onlyEnginesInRegionExecuted(String region) {
        List<String> regions = mContext.fleet().deployment().regions();
        List<JsonNode> stats = mContext.fleet().endpoints().engineStats();
        for (int i = 0; i < stats.size(); i++) {
            String engineRegion = regions.get(i % regions.size());
            if (!engineRegion.equals(region)) {
                assertEquals(stats.get(i).path("started").asInt(), 0, "engine " + i);
            }
        }
    }

    @When("the API key {string} is withdrawn through {string}")
    public void withdrawKey(String keyName, String instance) {
        String id = mContext.issuedKeys().get(keyName).keyId();
        Reply reply = mContext.fleet().callAdminApi(instance, "DELETE", "/keys/" + id, null);
        assertEquals(reply.status(), 200, reply.body());
    }

    @Then("within {int} seconds every instance rejects the API key {string}")
    public void everyInstanceRejectsKey(int seconds, String keyName) {
        for (String id : mContext.fleet().instanceIds()) {
            Fleet.await(
                    "rejection of the API key at " + id,
                    seconds * 1_000L,
                    () ->
                            mContext.fleet()
                                            .sendChat(
                                                    id, mContext.apiKey(keyName), "hello", 1, false)
                                            .join()
                                            .status()
                                    == 401);
        }
    }

    @Then("no endpoint has received an API key")
    public void noEndpointReceivedAKey() {
        for (JsonNode stats : mContext.fleet().endpoints().engineStats()) {
            assertEquals(stats.path("credentials").size(), 0, stats.toString());
            assertFalse(stats.path("headerNames").toString().contains("authorization"));
        }
    }

    @When("the platform and all instances outside region {string} are paused")
    public void pauseEverythingOutside(String region) {
        for (String id : mContext.fleet().instanceIds()) {
            if (!mContext.fleet().runningInstancesIn(region).contains(id)) {
                mContext.fleet().process(id).sendSignal("STOP");
            }
        }
        mContext.fleet().platform().sendSignal("STOP");
    }

    @Then("{string} gets complete responses from {string} for {int} seconds")
    public void receivesCompleteResponses(String keyName, String instance, int seconds) {
        long deadlineNs = System.nanoTime() + seconds * 1_000_000_000L;
        int responses = 0;
        while (System.nanoTime() < deadlineNs) {
            Reply reply =
                    mContext.fleet()
                            .sendChat(instance, mContext.apiKey(keyName), "Still there?", 2, false)
                            .join();
            assertEquals(reply.status(), 200, "after " + responses + " responses: " + reply.body());
            responses++;
        }
    }

    @When("the request counts of the engines are recorded")
    public void recordRequestCounts() {
        mRecordedRequestCounts =
                mContext.fleet().endpoints().engineStats().stream()
                        .map(stats -> stats.path("started").asLong())
                        .toList();
    }

    @When("engine {int} announces its shutdown")
    public void engineAnnouncesShutdown(int engineNumber) {
        mContext.fleet()
                .endpoints()
                .callEngine(engineNumber, "POST", "/standin/leaving", "{\"leaving\":true}");
    }

    @When("the platform's live list shows endpoint {string} as leaving")
    public void liveListShowsLeaving(String endpoint) {
        mContext.fleet().platform().putLiveListEntry(endpoint, "LEAVING", "");
    }

    @When("{int} seconds pass")
    public void waitSeconds(int seconds) throws InterruptedException {
        Thread.sleep(seconds * 1_000L);
    }

    @When("{string} sends {int} requests to each instance")
    public void sendRequestsToEachInstance(String keyName, int requests) {
        List<CompletableFuture<Reply>> replies = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            for (String id : mContext.fleet().instanceIds()) {
                replies.add(
                        mContext.fleet()
                                .sendChat(id, mContext.apiKey(keyName), "Request " + i, 1, false));
            }
        }
        for (CompletableFuture<Reply> reply : replies) {
            assertEquals(reply.join().status(), 200, reply.join().body());
        }
    }

    @Then("engine {int} has received no new requests")
    public void engineReceivedNoNewRequests(int engineNumber) {
        long requestCount =
                mContext.fleet()
                        .endpoints()
                        .engineStats()
                        .get(engineNumber)
                        .path("started")
                        .asLong();
        assertEquals(requestCount, mRecordedRequestCounts.get(engineNumber).longValue());
    }
}
