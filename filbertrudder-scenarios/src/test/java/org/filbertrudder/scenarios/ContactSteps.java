package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

/** Gives the scenarios their steps about an instance that loses all contact. */
public class ContactSteps {

    private static final int STATUS_OK = 200;

    private final World mWorld;
    private String mHolder;

    public ContactSteps(World world) {
        mWorld = world;
    }

    @When("all but the holder of {string} in {string} stop answering")
    public void stopOthers(String account, String region) {
        mHolder = mWorld.fleet().holderOf(account, region);
        signalOthers("STOP");
    }

    @When("they answer again")
    public void wakeOthers() {
        signalOthers("CONT");
    }

    private void signalOthers(String signal) {
        mWorld.fleet().entries().stream()
                .filter(id -> !id.equals(mHolder))
                .forEach(id -> mWorld.fleet().process(id).signal(signal));
        mWorld.fleet().platform().signal(signal);
    }

    private Reply ask(String key) {
        return mWorld.fleet().chat(mHolder, mWorld.key(key), "Alone?", 2, false).join();
    }

    @Then("within {int} seconds the holder refuses {string} as {string}")
    public void refusesWithin(int seconds, String key, String code) {
        Fleet.await("refusal", seconds * 1_000L, () -> ask(key).code().equals(code));
    }

    @Then("the holder refuses {string} as {string} for {int} seconds")
    public void refuses(String key, String code, int seconds) {
        repeat(
                seconds,
                () -> {
                    Reply reply = ask(key);
                    assertEquals(reply.code(), code, reply.body());
                });
    }

    @Then("within {int} seconds the holder serves {string}")
    public void servesWithin(int seconds, String key) {
        Fleet.await("an answer", seconds * 1_000L, () -> ask(key).status() == STATUS_OK);
    }

    @Then("the holder serves {string} for {int} seconds")
    public void serves(String key, int seconds) {
        repeat(
                seconds,
                () -> {
                    Reply reply = ask(key);
                    assertEquals(reply.status(), STATUS_OK, reply.body());
                });
    }

    private static void repeat(int seconds, Runnable action) {
        long untilNs = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < untilNs) {
            action.run();
        }
    }
}
