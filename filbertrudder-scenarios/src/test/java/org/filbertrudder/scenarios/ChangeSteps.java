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

/** Step definitions for configuration changes and the store. */
public class ChangeSteps {

    private final ScenarioContext mContext;
    private long mRevision;

    public ChangeSteps(ScenarioContext context) {
        mContext = context;
    }

    @When("the store mode is set to {word}")
    public void setStoreMode(String mode) {
        mContext.fleet()
                .platform()
                .setStoreFaults("{\"mode\":\"" + mode.toUpperCase(Locale.ROOT) + "\"}");
    }

    @When("the store drops the responses to the next {int} writes")
    public void dropWriteResponses(int writes) {
        mContext.fleet().platform().setStoreFaults("{\"loseAnswers\":" + writes + "}");
    }

    @When("an operator sets the maximum queue wait to {int} ms through {string}")
    public void setMaxQueueWait(int waitMs, String instance) {
        mContext.setLastReply(putInventory(instance, inventoryWithMaxQueueWait(waitMs), null));
        if (mContext.lastReply().status() == 200) {
            mRevision = mContext.lastReply().json().path("revision").asLong();
        }
    }

    private Inventory inventoryWithMaxQueueWait(int waitMs) {
        Inventory inventory = mContext.fleet().initialInventory();
        return inventory.withRules(inventory.rules().withMaxQueueWaitMs(waitMs));
    }

    private Reply putInventory(String instance, Inventory inventory, String ifMatch) {
        Map<String, String> headers = new HashMap<>();
        headers.put("authorization", "Bearer " + Fleet.OPERATOR_TOKEN);
        if (ifMatch != null) {
            headers.put("if-match", ifMatch);
        }
        return mContext.fleet()
                .send(
                        "PUT",
                        mContext.fleet().process(instance).port("admin"),
                        "/admin/v1/inventory",
                        headers,
                        inventory.toYaml());
    }

    @When("two operators concurrently set the maximum queue wait to {int} and {int} ms")
    public void setMaxQueueWaitConcurrently(int firstWaitMs, int secondWaitMs) {
        String revision =
                Long.toString(mContext.fleet().revisionAt(mContext.fleet().instanceIds().get(0)));
        CompletableFuture<Reply> firstChange =
                CompletableFuture.supplyAsync(
                        () ->
                                putInventory(
                                        mContext.fleet().instanceIds().get(0),
                                        inventoryWithMaxQueueWait(firstWaitMs),
                                        revision));
        CompletableFuture<Reply> secondChange =
                CompletableFuture.supplyAsync(
                        () ->
                                putInventory(
                                        mContext.fleet().instanceIds().get(1),
                                        inventoryWithMaxQueueWait(secondWaitMs),
                                        revision));
        mContext.setLastReply(firstChange.join());
        mContext.setConcurrentReply(secondChange.join());
    }

    @Then("one change succeeds and the other fails with a conflict")
    public void oneChangeSucceeds() {
        List<Integer> statuses =
                new ArrayList<>(
                        List.of(
                                mContext.lastReply().status(),
                                mContext.concurrentReply().status()));
        statuses.sort(null);
        assertEquals(
                statuses,
                List.of(200, 412),
                mContext.lastReply().body() + mContext.concurrentReply().body());
    }

    @Then("the change is rejected with {string}")
    public void changeIsRejected(String code) {
        assertEquals(mContext.lastReply().errorCode(), code, mContext.lastReply().body());
    }

    @Then("the change takes effect on all instances within {int} seconds")
    public void changeTakesEffect(int seconds) {
        assertEquals(mContext.lastReply().status(), 200, mContext.lastReply().body());
        for (String id : mContext.fleet().instanceIds()) {
            Fleet.await(
                    "revision " + mRevision + " at " + id,
                    seconds * 1_000L,
                    () ->
                            !mContext.fleet().process(id).isRunning()
                                    || mContext.fleet().revisionAt(id) >= mRevision);
        }
    }

    @Then("the change history contains the change exactly once")
    public void historyContainsChangeOnce() {
        JsonNode changes =
                mContext.fleet()
                        .callAdminApi(
                                mContext.fleet().anyRunningInstance(),
                                "GET",
                                "/changes?limit=1000",
                                null)
                        .json();
        List<String> ids = new ArrayList<>();
        changes.forEach(change -> ids.add(change.path("changeId").asText()));
        assertEquals(ids.stream().distinct().count(), ids.size());
        assertEquals(changes.get(changes.size() - 1).path("revision").asLong(), mRevision);
    }

    @Given("a snapshot of the store is saved")
    public void saveStoreSnapshot() {
        mContext.fleet().platform().saveStoreState();
    }

    @When("the store is restored from the snapshot")
    public void restoreStoreSnapshot() {
        mContext.fleet().platform().restoreStoreState();
    }

    @When("every call to the store takes {int} ms")
    public void setStoreDelay(int delayMs) {
        mContext.fleet().platform().setStoreFaults("{\"delayMs\":" + delayMs + "}");
    }

    @Then("the maximum queue wait is {int} ms on all instances")
    public void maxQueueWaitOnAllInstances(int waitMs) {
        for (String id : mContext.fleet().instanceIds()) {
            Fleet.await(
                    "a maximum queue wait of " + waitMs + " ms at " + id,
                    15_000,
                    () ->
                            mContext.fleet()
                                    .callAdminApi(id, "GET", "/inventory", null)
                                    .body()
                                    .contains("maxQueueWaitMs: " + waitMs + "\n"));
        }
    }

    @Then("{string} gets complete responses from {string} for {int} seconds, each within {int} ms")
    public void receivesCompleteResponsesWithin(
            String keyName, String instance, int seconds, int maxDurationMs) {
        long deadlineNs = System.nanoTime() + seconds * 1_000_000_000L;
        while (System.nanoTime() < deadlineNs) {
            long startNs = System.nanoTime();
            Reply reply =
                    mContext.fleet()
                            .sendChat(instance, mContext.apiKey(keyName), "In time?", 2, false)
                            .join();
            long durationMs = (System.nanoTime() - startNs) / 1_000_000;
            assertEquals(reply.status(), 200, reply.body());
            assertTrue(durationMs <= maxDurationMs, "response took " + durationMs + " ms");
        }
    }
}
