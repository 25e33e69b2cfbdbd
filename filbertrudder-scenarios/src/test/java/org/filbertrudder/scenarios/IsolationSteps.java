package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

/** Step definitions for a token holder that cannot reach the platform or any other instance. */
public class IsolationSteps {

    private static final int STATUS_OK = 200;

    private final ScenarioContext mContext;
    private String mTokenHolder;

    public IsolationSteps(ScenarioContext context) {
        mContext = context;
    }

    @When("the platform and all instances but the token holder of {string} in {string} are paused")
    public void pauseOthers(String account, String region) {
        mTokenHolder = mContext.fleet().tokenHolderOf(account, region);
        signalOthers("STOP");
    }

    @When("the paused processes resume")
    public void resumeOthers() {
        signalOthers("CONT");
    }

    private void signalOthers(String signal) {
        mContext.fleet().instanceIds().stream()
                .filter(id -> !id.equals(mTokenHolder))
                .forEach(id -> mContext.fleet().process(id).sendSignal(signal));
        mContext.fleet().platform().sendSignal(signal);
    }

    private Reply sendChat(String keyName) {
        return mContext.fleet()
                .sendChat(mTokenHolder, mContext.apiKey(keyName), "Alone?", 2, false)
                .join();
    }

    @Then("within {int} seconds the token holder rejects requests of {string} with {string}")
    public void rejectsWithin(int seconds, String keyName, String code) {
        Fleet.await(
                "a rejected request",
                seconds * 1_000L,
                () -> sendChat(keyName).errorCode().equals(code));
    }

    @Then("the token holder rejects requests of {string} with {string} for {int} seconds")
    public void rejectsFor(String keyName, String code, int seconds) {
        repeatFor(
                seconds,
                () -> {
                    Reply reply = sendChat(keyName);
                    assertEquals(reply.errorCode(), code, reply.body());
                });
    }

    @Then("within {int} seconds the token holder serves requests of {string}")
    public void servesWithin(int seconds, String keyName) {
        Fleet.await(
                "a successful request",
                seconds * 1_000L,
                () -> sendChat(keyName).status() == STATUS_OK);
    }

    @Then("the token holder serves requests of {string} for {int} seconds")
    public void servesFor(String keyName, int seconds) {
        repeatFor(
                seconds,
                () -> {
                    Reply reply = sendChat(keyName);
                    assertEquals(reply.status(), STATUS_OK, reply.body());
                });
    }

    private static void repeatFor(int seconds, Runnable action) {
        long deadlineNs = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < deadlineNs) {
            action.run();
        }
    }
}
