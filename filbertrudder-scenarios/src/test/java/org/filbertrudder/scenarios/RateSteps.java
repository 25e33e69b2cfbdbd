package org.filbertrudder.scenarios;

import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.concurrent.CompletableFuture;

/** Step definitions for the token rates and bursts of client accounts. */
public class RateSteps {

    private final ScenarioContext mContext;
    private OverloadRun mOverloadRun;

    public RateSteps(ScenarioContext context) {
        mContext = context;
    }

    @Given("{string} has at least {int} tokens left in region {string}")
    public void awaitTokenLevel(String account, int tokens, String region) {
        Fleet.await(
                "the token level of " + account,
                30_000,
                () -> tokenLevel(account, region) >= tokens);
    }

    @Then("{string} has at most {int} tokens left in region {string}")
    public void tokenLevelIsAtMost(String account, int tokens, String region) {
        double tokenLevel = tokenLevel(account, region);
        assertTrue(tokenLevel <= tokens, "token level " + tokenLevel);
    }

    private double tokenLevel(String account, String region) {
        JsonNode heldAccounts =
                mContext.fleet()
                        .dump(mContext.fleet().tokenHolderOf(account, region))
                        .path("control")
                        .path("accountsHeld");
        for (JsonNode heldAccount : heldAccounts) {
            if (heldAccount.path("account").asText().equals(account)) {
                return heldAccount.path("level").asDouble();
            }
        }
        return 0;
    }

    @When("{string} sends {string} a request for {int} tokens and disconnects, {int} times")
    public void requestAndDisconnect(String keyName, String instance, int tokens, int times) {
        String body =
                "{\"model\":\"small\",\"max_tokens\":"
                        + tokens
                        + ",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";
        String request =
                "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
                        + "content-type: application/json\r\nauthorization: Bearer "
                        + mContext.apiKey(keyName)
                        + "\r\ncontent-length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body;
        for (int i = 0; i < times; i++) {
            long tokensBefore = mContext.fleet().endpoints().generatedTokens();
            RawTcpClient.sendAndDisconnect(
                    mContext.fleet().process(instance).port("callers"),
                    request,
                    () ->
                            Fleet.await(
                                    "the first tokens of the request",
                                    ScenarioContext.REQUEST_START_TIMEOUT_MS,
                                    () ->
                                            mContext.fleet().endpoints().generatedTokens()
                                                    > tokensBefore));
        }
        Fleet.await(
                "the end of all requests",
                ScenarioContext.REQUEST_START_TIMEOUT_MS,
                () -> mContext.fleet().runningRequestsAt(instance) == 0);
    }

    @When("{string} overloads all instances for {int} seconds with requests of {int} tokens")
    public void overloadAllInstances(String keyName, int seconds, int tokens) {
        mOverloadRun = OverloadRun.run(mContext.fleet(), mContext.apiKey(keyName), seconds, tokens);
    }

    @Then("the account has consumed at most {int} tokens per second plus a burst of {int}")
    public void consumedAtMost(int tokensPerSecond, int burst) {
        double allowed = tokensPerSecond * mOverloadRun.seconds() + burst;
        assertTrue(
                mOverloadRun.tokens() <= allowed,
                "consumed " + mOverloadRun.tokens() + " tokens of " + allowed + " allowed");
    }

    @Then("the account has consumed at least {int} tokens per second")
    public void consumedAtLeast(int tokensPerSecond) {
        assertTrue(
                mOverloadRun.tokens() >= tokensPerSecond * mOverloadRun.seconds(),
                "consumed "
                        + mOverloadRun.tokens()
                        + " tokens in "
                        + mOverloadRun.seconds()
                        + " s");
    }

    @When("the token holder of {string} in {string} is paused for {int} seconds under overload")
    public void pauseTokenHolder(String account, String region, int seconds) {
        String holder = mContext.fleet().tokenHolderOf(account, region);
        CompletableFuture.runAsync(
                () -> {
                    mContext.fleet().process(holder).sendSignal("STOP");
                    try {
                        Thread.sleep(seconds * 1_000L);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    mContext.fleet().process(holder).sendSignal("CONT");
                });
    }
}
