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

/** Demonstrates the main functions of the system on a fleet of separate processes. */
public final class Demo {

    private static final int INSTANCES = 6;
    private static final int EXIT_FAILURE = 1;

    private final Fleet mFleet;
    private boolean mAllPassed = true;

    private Demo(Fleet fleet) {
        mFleet = fleet;
    }

    /** Runs the demo and exits with 0 only if every step passed. */
    public static void main(String[] arguments) {
        List<String> options = List.of(arguments);
        int optionIndex = options.indexOf("--deployment");
        String name = optionIndex < 0 ? "bureau" : options.get(optionIndex + 1);
        Deployment deployment = Deployment.valueOf(name.toUpperCase(Locale.ROOT));
        Path logDirectory =
                Path.of(System.getProperty("filbertrudder.root", "."), "build", "demo", name);
        Fleet fleet = Fleet.start(deployment, INSTANCES, logDirectory);
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
        Demo demo = new Demo(fleet);
        demo.run();
        if (options.contains("--keep")) {
            demo.keepRunning();
        }
        System.exit(demo.mAllPassed ? 0 : EXIT_FAILURE);
    }

    private void run() {
        mFleet.awaitShardOwnership();
        step("chat requests, streamed and unstreamed, in all regions", this::chatRequests);
        step("a repeated booking is executed once and gets the first response", this::bookings);
        step("service requests with an API key, and a public status page", this::serviceRequests);
        step("a withdrawn API key is rejected by all instances", this::keyWithdrawal);
        step("a changed rule takes effect on all instances", this::ruleChange);
        step("a graceful shutdown interrupts no running stream", this::gracefulShutdown);
        step("the remaining instances serve requests after one is killed", this::instanceFailure);
        step("no endpoint has received an API key", this::noKeyForwarded);
    }

    private void step(String description, Callable<Boolean> check) {
        boolean passed;
        String failureDetail = "";
        try {
            passed = check.call();
        } catch (Exception | AssertionError e) {
            passed = false;
            failureDetail = " (" + e.getMessage() + ")";
        }
        mAllPassed &= passed;
        System.out.printf("%-6s %s%s%n", passed ? "passed" : "FAILED", description, failureDetail);
    }

    private boolean chatRequests() {
        List<CompletableFuture<Reply>> replies = new ArrayList<>();
        for (String id : mFleet.instanceIds()) {
            for (String account : List.of("federation", "club-north")) {
                String key = mFleet.apiKeyOf(account);
                replies.add(mFleet.sendChat(id, key, "Summarise the rulebook for " + id, 12, true));
                replies.add(mFleet.sendChat(id, key, "Which grit follows 220?", 8, false));
            }
        }
        return replies.stream().map(CompletableFuture::join).allMatch(Demo::isComplete);
    }

    private static boolean isComplete(Reply reply) {
        boolean ends = reply.body().contains("data: [DONE]") || reply.body().contains("usage");
        return reply.status() == 200 && ends;
    }

    private boolean bookings() {
        String key = mFleet.apiKeyOf("club-south");
        List<String> instances = mFleet.instanceIds();
        Reply first = mFleet.sendBooking(instances.get(0), key, "drum-7", "order-7").join();
        Reply repeat = mFleet.sendBooking(instances.get(3), key, "drum-7", "order-7").join();
        return first.status() == 201
                && repeat.body().equals(first.body())
                && mFleet.endpoints().bookingExecutions("drum-7") == 1;
    }

    private boolean serviceRequests() {
        String service = "/services/" + mFleet.deployment().plainServiceId();
        String id = mFleet.anyRunningInstance();
        Map<String, String> key = Map.of("authorization", "Bearer " + mFleet.apiKeyOf("museum"));
        Reply authorized = mFleet.sendToCallerPort(id, "GET", service + "/racks/12", key, null);
        Reply unauthorized =
                mFleet.sendToCallerPort(id, "GET", service + "/racks/12", Map.of(), null);
        Reply publicPage = mFleet.sendToCallerPort(id, "GET", service + "/status", Map.of(), null);
        return authorized.status() == 200
                && unauthorized.status() == 401
                && publicPage.status() == 200;
    }

    private boolean keyWithdrawal() {
        Fleet.IssuedApiKey key = mFleet.issueApiKey("museum");
        mFleet.callAdminApi(mFleet.anyRunningInstance(), "DELETE", "/keys/" + key.keyId(), null);
        for (String id : mFleet.instanceIds()) {
            Fleet.await(
                    "rejection of the API key at " + id,
                    5_000,
                    () ->
                            mFleet.sendChat(id, key.apiKey(), "hello", 1, false).join().status()
                                    == 401);
        }
        return true;
    }

    private boolean ruleChange() {
        Inventory inventory = mFleet.initialInventory();
        Rules rules = Rules.of(8_000, 100_000, 32, inventory.rules().awayCostMs(), 0.1);
        Inventory changed =
                new Inventory(
                        inventory.regions(),
                        inventory.links(),
                        inventory.services(),
                        inventory.endpoints(),
                        inventory.accounts(),
                        rules);
        long startNs = System.nanoTime();
        mFleet.awaitRevision(mFleet.applyInventory(changed));
        return System.nanoTime() - startNs < 15_000_000_000L;
    }

    private boolean gracefulShutdown() {
        String id = mFleet.runningInstancesIn(mFleet.deployment().regions().get(1)).get(0);
        String key = mFleet.apiKeyOf("federation");
        CompletableFuture<Reply> pendingReply = mFleet.sendChat(id, key, "A long story", 100, true);
        Fleet.await("a running stream", 5_000, () -> runningRequests(id) > 0);
        mFleet.process(id).terminate();
        boolean complete = isComplete(pendingReply.join());
        int exitCode = mFleet.process(id).awaitExit(20_000);
        mFleet.platform().removeLiveListEntry(id);
        return complete && exitCode == 0;
    }

    private int runningRequests(String id) {
        return mFleet.dump(id).path("metrics").path("requests.running").asInt();
    }

    private boolean instanceFailure() {
        String region = mFleet.deployment().regions().get(2);
        String killed = mFleet.runningInstancesIn(region).get(0);
        String survivor = mFleet.runningInstancesIn(region).get(1);
        mFleet.process(killed).kill();
        mFleet.platform().removeLiveListEntry(killed);
        String key = mFleet.apiKeyOf("club-north");
        Fleet.await(
                "a complete response in " + region,
                30_000,
                () -> isComplete(mFleet.sendChat(survivor, key, "Still there?", 4, false).join()));
        return true;
    }

    private boolean noKeyForwarded() {
        return mFleet.endpoints().engineStats().stream()
                .allMatch(
                        stats ->
                                stats.path("credentials").isEmpty()
                                        && !stats.path("headerNames")
                                                .toString()
                                                .contains("authorization"));
    }

    private void keepRunning() {
        System.out.println("token " + Fleet.OPERATOR_TOKEN);
        System.out.println("key   " + mFleet.apiKeyOf("federation"));
        for (String id : mFleet.instanceIds()) {
            ManagedProcess process = mFleet.process(id);
            if (process.isRunning()) {
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
