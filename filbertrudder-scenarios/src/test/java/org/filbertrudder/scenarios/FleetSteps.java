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
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.filbertrudder.model.Inventory;
import org.filbertrudder.model.Rules;

/** Gives the scenarios their steps. */
public class FleetSteps {

    private static final long STREAM_START_MS = 10_000;
    private static final int TOKENS_BEFORE_NEXT_STEP = 10;

    private final List<CompletableFuture<Reply>> mRunning = new ArrayList<>();
    private final Map<String, Fleet.IssuedKey> mNamedKeys = new HashMap<>();
    private Fleet mFleet;
    private Reply mReply;
    private Reply mOtherReply;
    private List<Long> mStartedBefore = List.of();
    private long mRevision;
    private Flood mFlood;

    @After
    public void stopFleet(Scenario scenario) {
        if (mFleet != null) {
            mFleet.close();
        }
    }

    @Given("a {word} fleet of {int} instances")
    public void startFleet(String deployment, int instances) {
        Path logs = Path.of("target", "scenario-logs", Long.toString(System.nanoTime()));
        mFleet =
                Fleet.start(
                        Deployment.valueOf(deployment.toUpperCase(Locale.ROOT)), instances, logs);
        mFleet.awaitShards();
    }

    @Given("a key {string} of {string}")
    public void issueKey(String name, String account) {
        mNamedKeys.put(name, mFleet.issueKey(account));
    }

    private String key(String name) {
        return mNamedKeys.get(name).text();
    }

    @When("{string} asks {string} for {int} tokens")
    public void ask(String key, String instance, int tokens) {
        mReply = mFleet.chat(instance, key(key), "Summarise the rulebook", tokens, false).join();
    }

    @When("{string} streams {int} tokens from {string}")
    public void stream(String key, int tokens, String instance) {
        long before = tokensWritten();
        mRunning.add(mFleet.chat(instance, key(key), "A story " + tokens, tokens, true));
        Fleet.await(
                "a stream at " + instance,
                STREAM_START_MS,
                () -> tokensWritten() >= before + TOKENS_BEFORE_NEXT_STEP);
    }

    private long tokensWritten() {
        return mFleet.engineStats().stream()
                .mapToLong(stats -> stats.path("tokens").asLong())
                .sum();
    }

    @When("{string} streams {int} tokens from each instance, {int} at a time")
    public void streamEverywhere(String key, int tokens, int number) {
        for (String id : mFleet.entries()) {
            for (int i = 0; i < number; i++) {
                mRunning.add(mFleet.chat(id, key(key), "Story " + i + id, tokens, true));
            }
            Fleet.await("streams at " + id, STREAM_START_MS, () -> runningAt(id) >= number);
        }
    }

    private int runningAt(String instance) {
        return mFleet.dump(instance).path("metrics").path("requests.running").asInt();
    }

    @Then("the answer is whole")
    public void answerIsWhole() {
        assertEquals(mReply.status(), 200, mReply.body());
        assertTrue(mReply.body().contains("total_tokens"), mReply.body());
    }

    @Then("the refusal is {string} and says not run: {word}")
    public void refusalIs(String code, String notRun) {
        assertEquals(mReply.code(), code, mReply.body());
        assertEquals(mReply.saysNotRun(), notRun.equals("true"), mReply.body());
    }

    @Then("all streams are whole")
    public void streamsAreWhole() {
        for (CompletableFuture<Reply> running : mRunning) {
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
        Reply reply = mRunning.get(0).join();
        assertTrue(tail(reply).contains("\"code\":\"" + code + "\""), tail(reply));
        assertEquals(reply.body().split("event: error").length, 2, "typed events: " + tail(reply));
    }

    @Then("only engines of {string} have run requests")
    public void onlyEnginesOf(String region) {
        List<String> regions = mFleet.deployment().regions();
        List<JsonNode> stats = mFleet.engineStats();
        for (int i = 0; i < stats.size(); i++) {
            String here = regions.get(i % regions.size());
            if (!here.equals(region)) {
                assertEquals(stats.get(i).path("started").asInt(), 0, "engine " + i);
            }
        }
    }

    @When("the key {string} is withdrawn through {string}")
    public void withdraw(String key, String instance) {
        String id = mNamedKeys.get(key).id();
        Reply reply = mFleet.admin(instance, "DELETE", "/keys/" + id, null);
        assertEquals(reply.status(), 200, reply.body());
    }

    @Then("within {int} seconds every instance refuses {string}")
    public void everyInstanceRefuses(int seconds, String key) {
        for (String id : mFleet.entries()) {
            Fleet.await(
                    "refusal at " + id,
                    seconds * 1_000L,
                    () -> mFleet.chat(id, key(key), "hello", 1, false).join().status() == 401);
        }
    }

    @Then("no endpoint has seen a key")
    public void noEndpointHasSeenAKey() {
        for (JsonNode stats : mFleet.engineStats()) {
            assertEquals(stats.path("credentials").size(), 0, stats.toString());
            assertFalse(stats.path("headerNames").toString().contains("authorization"));
        }
    }

    @When("{string} books {string} at {string} with idempotency key {string}")
    public void book(String key, String slot, String instance, String idempotencyKey) {
        mReply = mFleet.book(instance, key(key), slot, idempotencyKey).join();
    }

    @When("{string} starts to book {string} at {string} with idempotency key {string}")
    public void startBooking(String key, String slot, String instance, String idempotencyKey) {
        mFleet.book(instance, key(key), slot, idempotencyKey);
        Fleet.await("the run of " + slot, STREAM_START_MS, () -> mFleet.runsOf(slot) > 0);
    }

    @When("{string} starts to book {string} at {string} with idempotency key {string} and leaves")
    public void startBookingAndLeave(
            String key, String slot, String instance, String idempotencyKey) {
        int port = mFleet.process(instance).port("callers");
        String body = "{\"slot\":\"" + slot + "\"}";
        String request =
                "POST /services/"
                        + mFleet.deployment().plainService()
                        + "/bookings HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n"
                        + "authorization: Bearer "
                        + key(key)
                        + "\r\nidempotency-key: "
                        + idempotencyKey
                        + "\r\ncontent-length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body;
        RawConnection.sendAndLeave(
                port,
                request,
                () ->
                        Fleet.await(
                                "the run of " + slot,
                                STREAM_START_MS,
                                () -> mFleet.runsOf(slot) > 0));
    }

    @Given("booking endpoints take {int} ms")
    public void slowBookings(int delayMs) {
        mFleet.bookingBehaviour("{\"delayMs\":" + delayMs + "}");
    }

    @When("{string} books {string} at {string} without idempotency key")
    public void bookOnce(String key, String slot, String instance) {
        mReply = mFleet.book(instance, key(key), slot, null).join();
    }

    @When("{string} books {string} at all instances at once with idempotency key {string}")
    public void bookEverywhere(String key, String slot, String idempotencyKey) {
        List<CompletableFuture<Reply>> replies = new ArrayList<>();
        for (String id : mFleet.entries()) {
            replies.add(mFleet.book(id, key(key), slot, idempotencyKey));
        }
        replies.forEach(CompletableFuture::join);
        mReply = replies.get(0).join();
        mOtherReply = replies.get(1).join();
    }

    @Then("both answers are the same")
    public void answersAreTheSame() {
        assertEquals(mOtherReply.body(), mReply.body());
        assertEquals(mReply.status(), 201, mReply.body());
    }

    @Then("the booking {string} has run {int} time(s)")
    public void bookingHasRun(String slot, int runs) {
        assertEquals(mFleet.runsOf(slot), runs);
    }

    @Then("the booking is accepted")
    public void bookingIsAccepted() {
        assertEquals(mReply.status(), 201, mReply.body());
    }

    @Given("booking endpoints break the connection {word} the run")
    public void breakBookings(String when) {
        mFleet.bookingBehaviour("{\"breakAt\":\"" + when + "\"}");
    }

    @Given("booking endpoints work again")
    public void mendBookings() {
        mFleet.bookingBehaviour("{}");
    }

    @When("the store is {word}")
    public void storeIs(String mode) {
        mFleet.storeFaults("{\"mode\":\"" + mode.toUpperCase(Locale.ROOT) + "\"}");
    }

    @When("the store loses the answers to the next {int} writes")
    public void storeLosesAnswers(int writes) {
        mFleet.storeFaults("{\"loseAnswers\":" + writes + "}");
    }

    @When("an operator sets the queue wait to {int} ms through {string}")
    public void changeRule(int waitMs, String instance) {
        mReply = putInventory(instance, withWait(waitMs), null);
        if (mReply.status() == 200) {
            mRevision = mReply.json().path("revision").asLong();
        }
    }

    private Inventory withWait(int waitMs) {
        Inventory now = mFleet.inventory();
        Rules old = now.rules();
        Rules rules =
                new Rules(
                        waitMs,
                        old.requestTimeoutMs(),
                        old.maxOutputTokens(),
                        old.awayCostMs(),
                        old.retryShare());
        return new Inventory(
                now.regions(), now.links(), now.services(), now.endpoints(), now.accounts(), rules);
    }

    private Reply putInventory(String instance, Inventory inventory, String ifMatch) {
        Map<String, String> headers = new HashMap<>();
        headers.put("authorization", "Bearer " + Fleet.TOKEN);
        if (ifMatch != null) {
            headers.put("if-match", ifMatch);
        }
        return mFleet.send(
                "PUT",
                mFleet.process(instance).port("admin"),
                "/admin/v1/inventory",
                headers,
                inventory.toYaml());
    }

    @When("two operators race to set the queue wait to {int} and {int} ms")
    public void race(int first, int second) {
        String revision = Long.toString(revisionAt(mFleet.entries().get(0)));
        CompletableFuture<Reply> one =
                CompletableFuture.supplyAsync(
                        () -> putInventory(mFleet.entries().get(0), withWait(first), revision));
        CompletableFuture<Reply> other =
                CompletableFuture.supplyAsync(
                        () -> putInventory(mFleet.entries().get(1), withWait(second), revision));
        mReply = one.join();
        mOtherReply = other.join();
    }

    @Then("one of them succeeds and the other learns of the conflict")
    public void oneSucceeds() {
        List<Integer> statuses = new ArrayList<>(List.of(mReply.status(), mOtherReply.status()));
        statuses.sort(null);
        assertEquals(statuses, List.of(200, 412), mReply.body() + mOtherReply.body());
    }

    private long revisionAt(String id) {
        return mFleet.dump(id).path("control").path("revision").asLong();
    }

    @Then("the change is refused with {string}")
    public void changeIsRefused(String code) {
        assertEquals(mReply.code(), code, mReply.body());
    }

    @Then("the change is in force on all instances within {int} seconds")
    public void changeIsInForce(int seconds) {
        assertEquals(mReply.status(), 200, mReply.body());
        for (String id : mFleet.entries()) {
            Fleet.await(
                    "revision " + mRevision + " at " + id,
                    seconds * 1_000L,
                    () -> !mFleet.process(id).alive() || revisionAt(id) >= mRevision);
        }
    }

    @Then("the history holds the change once")
    public void historyHoldsTheChangeOnce() {
        JsonNode changes =
                mFleet.admin(mFleet.anyEntry(), "GET", "/changes?limit=1000", null).json();
        List<String> ids = new ArrayList<>();
        changes.forEach(change -> ids.add(change.path("changeId").asText()));
        assertEquals(ids.stream().distinct().count(), ids.size());
        assertEquals(changes.get(changes.size() - 1).path("revision").asLong(), mRevision);
    }

    @When("the instance {string} is killed")
    public void kill(String id) {
        mFleet.process(id).kill();
        mFleet.removeLive(id);
    }

    @When("the instance {string} is told to stop")
    public void terminate(String id) {
        mFleet.process(id).terminate();
    }

    @Then("the instance {string} ends by itself")
    public void endsByItself(String id) {
        int code = mFleet.process(id).awaitEnd(30_000);
        mFleet.removeLive(id);
        assertTrue(code == 0 || code == 143, "exit code " + code);
    }

    @When("a new instance {string} starts in {string}")
    public void startInstance(String id, String region) {
        mFleet.startEntry(id, region, 0);
    }

    @Then("the instance {string} reaches the revision of {string}")
    public void reachesRevision(String id, String other) {
        Fleet.await("the revision at " + id, 15_000, () -> revisionAt(id) >= revisionAt(other));
        assertTrue(revisionAt(id) > 0);
    }

    @When("the other regions and the platform stop answering {string}")
    public void cutOff(String region) {
        for (String id : mFleet.entries()) {
            if (!mFleet.entriesIn(region).contains(id)) {
                mFleet.process(id).signal("STOP");
            }
        }
        mFleet.stopPlatform();
    }

    @Then("{string} gets whole answers from {string} for {int} seconds")
    public void keepsServing(String key, String instance, int seconds) {
        long untilNs = System.nanoTime() + seconds * 1_000_000_000L;
        int answers = 0;
        while (System.nanoTime() < untilNs) {
            Reply reply = mFleet.chat(instance, key(key), "Still there?", 2, false).join();
            assertEquals(reply.status(), 200, "after " + answers + " answers: " + reply.body());
            answers++;
        }
    }

    @When("the engines count their requests")
    public void countRequests() {
        mStartedBefore =
                mFleet.engineStats().stream().map(stats -> stats.path("started").asLong()).toList();
    }

    @When("engine {int} reports that it is leaving")
    public void engineLeaves(int number) {
        mFleet.engine(number, "POST", "/standin/leaving", "{\"leaving\":true}");
    }

    @When("the live list shows endpoint {string} as leaving")
    public void liveListShowsLeaving(String endpoint) {
        mFleet.setLive(endpoint, "LEAVING", "");
    }

    @When("{int} seconds pass")
    public void pass(int seconds) throws InterruptedException {
        Thread.sleep(seconds * 1_000L);
    }

    @When("{string} sends {int} requests to each instance")
    public void sendMany(String key, int requests) {
        List<CompletableFuture<Reply>> replies = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            for (String id : mFleet.entries()) {
                replies.add(mFleet.chat(id, key(key), "Request " + i, 1, false));
            }
        }
        for (CompletableFuture<Reply> reply : replies) {
            assertEquals(reply.join().status(), 200, reply.join().body());
        }
    }

    @Then("engine {int} has got no new request")
    public void noNewRequest(int number) {
        long now = mFleet.engineStats().get(number).path("started").asLong();
        assertEquals(now, mStartedBefore.get(number).longValue());
    }

    @When("an engine that runs a stream crashes")
    public void crashRunningEngine() {
        int[] engine = {-1};
        Fleet.await(
                "an engine that runs a stream",
                STREAM_START_MS,
                () -> {
                    engine[0] = runningEngine();
                    return engine[0] >= 0;
                });
        mFleet.engine(engine[0], "POST", "/standin/crash", "{}");
        Fleet.await("the crash", STREAM_START_MS, () -> runningEngine() != engine[0]);
    }

    private int runningEngine() {
        List<JsonNode> stats = mFleet.engineStats();
        for (int i = 0; i < stats.size(); i++) {
            if (stats.get(i).path("running").asInt() > 0) {
                return i;
            }
        }
        return -1;
    }

    @Then("the stream has the same text as one without a crash")
    public void sameText() {
        Reply broken = mRunning.get(0).join();
        String key = mNamedKeys.values().iterator().next().text();
        int tokens = (int) broken.body().lines().filter(l -> l.startsWith("data: {")).count();
        Reply whole = mFleet.chat(mFleet.anyEntry(), key, "A story " + tokens, tokens, true).join();
        assertEquals(broken.body(), whole.body());
    }

    @When("{string} sends a crashing request through every instance, {int} time(s)")
    public void sendCrashing(String key, int times) {
        for (int i = 0; i < times; i++) {
            for (String id : mFleet.entries()) {
                mReply = mFleet.chat(id, key(key), "CRASH-THE-ENGINE", 8, false).join();
            }
        }
    }

    @Then("at most {int} engines have crashed")
    public void crashes(int most) {
        long crashes =
                mFleet.engineStats().stream()
                        .mapToLong(stats -> stats.path("crashes").asLong())
                        .sum();
        assertTrue(crashes <= most, "crashes: " + crashes);
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
                mFleet.dump(mFleet.holderOf(account, region)).path("control").path("accountsHeld");
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
                        + key(key)
                        + "\r\ncontent-length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body;
        for (int i = 0; i < times; i++) {
            long before = tokensWritten();
            RawConnection.sendAndLeave(
                    mFleet.process(instance).port("callers"),
                    request,
                    () ->
                            Fleet.await(
                                    "tokens of the request",
                                    STREAM_START_MS,
                                    () -> tokensWritten() > before));
        }
        Fleet.await("the ends of the requests", STREAM_START_MS, () -> runningAt(instance) == 0);
    }

    @When("{string} floods all instances for {int} seconds with requests of {int} tokens")
    public void flood(String key, int seconds, int tokens) {
        mFlood = Flood.run(mFleet, key(key), seconds, tokens);
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
        String holder = mFleet.holderOf(account, region);
        CompletableFuture.runAsync(
                () -> {
                    mFleet.process(holder).signal("STOP");
                    try {
                        Thread.sleep(seconds * 1_000L);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    mFleet.process(holder).signal("CONT");
                });
    }
}
