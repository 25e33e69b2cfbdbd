package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.filbertrudder.model.Inventory;

/** Gives the scenarios their steps about changes and the store. */
public class ChangeSteps {

    private final World mWorld;
    private long mRevision;

    public ChangeSteps(World world) {
        mWorld = world;
    }

    @When("the store is {word}")
    public void storeIs(String mode) {
        mWorld.fleet()
                .platform()
                .storeFaults("{\"mode\":\"" + mode.toUpperCase(Locale.ROOT) + "\"}");
    }

    @When("the store loses the answers to the next {int} writes")
    public void storeLosesAnswers(int writes) {
        mWorld.fleet().platform().storeFaults("{\"loseAnswers\":" + writes + "}");
    }

    @When("an operator sets the queue wait to {int} ms through {string}")
    public void changeRule(int waitMs, String instance) {
        mWorld.setReply(putInventory(instance, withWait(waitMs), null));
        if (mWorld.reply().status() == 200) {
            mRevision = mWorld.reply().json().path("revision").asLong();
        }
    }

    private Inventory withWait(int waitMs) {
        Inventory now = mWorld.fleet().inventory();
        return now.withRules(now.rules().withMaxQueueWaitMs(waitMs));
    }

    private Reply putInventory(String instance, Inventory inventory, String ifMatch) {
        Map<String, String> headers = new HashMap<>();
        headers.put("authorization", "Bearer " + Fleet.TOKEN);
        if (ifMatch != null) {
            headers.put("if-match", ifMatch);
        }
        return mWorld.fleet()
                .send(
                        "PUT",
                        mWorld.fleet().process(instance).port("admin"),
                        "/admin/v1/inventory",
                        headers,
                        inventory.toYaml());
    }

    @When("two operators race to set the queue wait to {int} and {int} ms")
    public void race(int first, int second) {
        String revision = Long.toString(mWorld.fleet().revisionAt(mWorld.fleet().entries().get(0)));
        CompletableFuture<Reply> one =
                CompletableFuture.supplyAsync(
                        () ->
                                putInventory(
                                        mWorld.fleet().entries().get(0),
                                        withWait(first),
                                        revision));
        CompletableFuture<Reply> other =
                CompletableFuture.supplyAsync(
                        () ->
                                putInventory(
                                        mWorld.fleet().entries().get(1),
                                        withWait(second),
                                        revision));
        mWorld.setReply(one.join());
        mWorld.setOtherReply(other.join());
    }

    @Then("one of them succeeds and the other learns of the conflict")
    public void oneSucceeds() {
        List<Integer> statuses =
                new ArrayList<>(List.of(mWorld.reply().status(), mWorld.otherReply().status()));
        statuses.sort(null);
        assertEquals(
                statuses, List.of(200, 412), mWorld.reply().body() + mWorld.otherReply().body());
    }

    @Then("the change is refused with {string}")
    public void changeIsRefused(String code) {
        assertEquals(mWorld.reply().code(), code, mWorld.reply().body());
    }

    @Then("the change is in force on all instances within {int} seconds")
    public void changeIsInForce(int seconds) {
        assertEquals(mWorld.reply().status(), 200, mWorld.reply().body());
        for (String id : mWorld.fleet().entries()) {
            Fleet.await(
                    "revision " + mRevision + " at " + id,
                    seconds * 1_000L,
                    () ->
                            !mWorld.fleet().process(id).alive()
                                    || mWorld.fleet().revisionAt(id) >= mRevision);
        }
    }

    @Then("the history holds the change once")
    public void historyHoldsTheChangeOnce() {
        JsonNode changes =
                mWorld.fleet()
                        .admin(mWorld.fleet().anyEntry(), "GET", "/changes?limit=1000", null)
                        .json();
        List<String> ids = new ArrayList<>();
        changes.forEach(change -> ids.add(change.path("changeId").asText()));
        assertEquals(ids.stream().distinct().count(), ids.size());
        assertEquals(changes.get(changes.size() - 1).path("revision").asLong(), mRevision);
    }

    @Given("the store's state is saved")
    public void saveStore() {
        mWorld.fleet().platform().saveStore();
    }

    @When("the store goes back to the saved state")
    public void restoreStore() {
        mWorld.fleet().platform().restoreStore();
    }

    @When("every call to the store takes {int} ms")
    public void slowStore(int delayMs) {
        mWorld.fleet().platform().storeFaults("{\"delayMs\":" + delayMs + "}");
    }

    @Then("the queue wait is {int} ms on all instances")
    public void queueWaitEverywhere(int waitMs) {
        for (String id : mWorld.fleet().entries()) {
            Fleet.await(
                    "a queue wait of " + waitMs + " ms at " + id,
                    15_000,
                    () ->
                            mWorld.fleet()
                                    .admin(id, "GET", "/inventory", null)
                                    .body()
                                    .contains("maxQueueWaitMs: " + waitMs + "\n"));
        }
    }

    @Then("{string} gets whole answers from {string} for {int} seconds, each within {int} ms")
    public void answersWithin(String key, String instance, int seconds, int withinMs) {
        long untilNs = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < untilNs) {
            long startNs = System.nanoTime();
            Reply reply =
                    mWorld.fleet().chat(instance, mWorld.key(key), "In time?", 2, false).join();
            long tookMs = (System.nanoTime() - startNs) / 1_000_000;
            assertEquals(reply.status(), 200, reply.body());
            assertTrue(tookMs <= withinMs, "took " + tookMs + " ms");
        }
    }
}
