package org.filbertrudder.scenarios;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.filbertrudder.model.Inventory;
import org.filbertrudder.model.Rules;

/** Shows the main job of the system on a fleet of real processes. */
public final class Demo {

    private static final int INSTANCES = 6;
    private static final int FAILED = 1;

    private final Fleet mFleet;
    private boolean mAllHeld = true;

    private Demo(Fleet fleet) {
        mFleet = fleet;
    }

    /** Runs the demonstration; exits with 0 only if every step held. */
    public static void main(String[] arguments) {
        List<String> options = List.of(arguments);
        int named = options.indexOf("--deployment");
        String name = named < 0 ? "bureau" : options.get(named + 1);
        Deployment deployment = Deployment.valueOf(name.toUpperCase(Locale.ROOT));
        Path logs = Path.of(System.getProperty("filbertrudder.root", "."), "build", "demo", name);
        Fleet fleet = Fleet.start(deployment, INSTANCES, logs);
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
        Demo demo = new Demo(fleet);
        demo.run();
        if (options.contains("--keep")) {
            demo.keep();
        }
        System.exit(demo.mAllHeld ? 0 : FAILED);
    }

    private void run() {
        mFleet.awaitShards();
        step("chats, whole and streamed, in all regions", this::chats);
        step("bookings land once, repeats get the first answer", this::bookings);
        step("lookups and an open status page", this::lookups);
        step("a withdrawn key stops working everywhere", this::withdrawal);
        step("a changed rule is in force on all instances", this::ruleChange);
        step("a graceful stop cuts no running stream", this::gracefulStop);
        step("a killed instance leaves the others serving", this::kill);
        step("no endpoint has seen a key", this::noKeySeen);
    }

    private void step(String what, Callable<Boolean> check) {
        boolean held;
        String note = "";
        try {
            held = check.call();
        } catch (Exception | AssertionError e) {
            held = false;
            note = " (" + e.getMessage() + ")";
        }
        mAllHeld &= held;
        System.out.printf("%-6s %s%s%n", held ? "held" : "FAILED", what, note);
    }

    private boolean chats() {
        List<CompletableFuture<Reply>> replies = new ArrayList<>();
        for (String id : mFleet.entries()) {
            for (String account : List.of("federation", "club-north")) {
                String key = mFleet.keyOf(account);
                replies.add(mFleet.chat(id, key, "Summarise the rulebook for " + id, 12, true));
                replies.add(mFleet.chat(id, key, "Which grit follows 220?", 8, false));
            }
        }
        return replies.stream().map(CompletableFuture::join).allMatch(Demo::whole);
    }

    private static boolean whole(Reply reply) {
        boolean ends = reply.body().contains("data: [DONE]") || reply.body().contains("usage");
        return reply.status() == 200 && ends;
    }

    private boolean bookings() {
        String key = mFleet.keyOf("club-south");
        List<String> entries = mFleet.entries();
        Reply first = mFleet.book(entries.get(0), key, "drum-7", "order-7").join();
        Reply repeat = mFleet.book(entries.get(3), key, "drum-7", "order-7").join();
        return first.status() == 201
                && repeat.body().equals(first.body())
                && mFleet.endpoints().runsOf("drum-7") == 1;
    }

    private boolean lookups() {
        String service = "/services/" + mFleet.deployment().plainService();
        String id = mFleet.anyEntry();
        Map<String, String> key = Map.of("authorization", "Bearer " + mFleet.keyOf("museum"));
        Reply rack = mFleet.call(id, "GET", service + "/racks/12", key, null);
        Reply closed = mFleet.call(id, "GET", service + "/racks/12", Map.of(), null);
        Reply open = mFleet.call(id, "GET", service + "/status", Map.of(), null);
        return rack.status() == 200 && closed.status() == 401 && open.status() == 200;
    }

    private boolean withdrawal() {
        Fleet.IssuedKey key = mFleet.issueKey("museum");
        mFleet.admin(mFleet.anyEntry(), "DELETE", "/keys/" + key.id(), null);
        for (String id : mFleet.entries()) {
            Fleet.await(
                    "refusal at " + id,
                    5_000,
                    () -> mFleet.chat(id, key.text(), "hello", 1, false).join().status() == 401);
        }
        return true;
    }

    private boolean ruleChange() {
        Inventory now = mFleet.inventory();
        Rules rules = Rules.of(8_000, 100_000, 32, now.rules().awayCostMs(), 0.1);
        Inventory changed =
                new Inventory(
                        now.regions(),
                        now.links(),
                        now.services(),
                        now.endpoints(),
                        now.accounts(),
                        rules);
        long startNs = System.nanoTime();
        mFleet.awaitRevision(mFleet.apply(changed));
        return System.nanoTime() - startNs < 15_000_000_000L;
    }

    private boolean gracefulStop() {
        String id = mFleet.entriesIn(mFleet.deployment().regions().get(1)).get(0);
        String key = mFleet.keyOf("federation");
        CompletableFuture<Reply> running = mFleet.chat(id, key, "A long story", 100, true);
        Fleet.await("a running stream", 5_000, () -> running(id) > 0);
        mFleet.process(id).terminate();
        boolean whole = whole(running.join());
        int code = mFleet.process(id).awaitEnd(20_000);
        mFleet.platform().removeLive(id);
        return whole && code == 0;
    }

    private int running(String id) {
        return mFleet.dump(id).path("metrics").path("requests.running").asInt();
    }

    private boolean kill() {
        String region = mFleet.deployment().regions().get(2);
        String victim = mFleet.entriesIn(region).get(0);
        String other = mFleet.entriesIn(region).get(1);
        mFleet.process(victim).kill();
        mFleet.platform().removeLive(victim);
        String key = mFleet.keyOf("club-north");
        Fleet.await(
                "an answer in " + region,
                30_000,
                () -> whole(mFleet.chat(other, key, "Still there?", 4, false).join()));
        return true;
    }

    private boolean noKeySeen() {
        return mFleet.endpoints().engineStats().stream()
                .allMatch(
                        stats ->
                                stats.path("credentials").isEmpty()
                                        && !stats.path("headerNames")
                                                .toString()
                                                .contains("authorization"));
    }

    private void keep() {
        System.out.println("token " + Fleet.TOKEN);
        System.out.println("key   " + mFleet.keyOf("federation"));
        for (String id : mFleet.entries()) {
            ManagedProcess process = mFleet.process(id);
            if (process.alive()) {
                System.out.printf(
                        "%s callers http://127.0.0.1:%d admin http://127.0.0.1:%d%n",
                        id, process.port("callers"), process.port("admin"));
            }
        }
        System.out.println("Stop with Ctrl-C.");
        try {
            Thread.currentThread().join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
