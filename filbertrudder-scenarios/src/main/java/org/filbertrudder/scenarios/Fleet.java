package org.filbertrudder.scenarios;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.filbertrudder.model.Account;
import org.filbertrudder.model.AccountId;
import org.filbertrudder.model.Inventory;
import org.filbertrudder.policy.tokens.TokenHolder;
import org.filbertrudder.policy.tokens.TokenSettings;

/** Runs a whole deployment as separate processes on loopback. */
public final class Fleet implements AutoCloseable {

    /** The operator's token that all instances accept. */
    public static final String TOKEN = "demo-operator-token";

    private static final long POLL_MS = 50;

    /** Names the jar of the product. */
    public static final String PRODUCT_JAR = "filbertrudder-app-0.1.0-all.jar";

    private static final String STANDINS_JAR = "filbertrudder-standins-0.1.0-all.jar";

    private final Deployment mDeployment;
    private final FleetOptions mOptions;
    private final Path mLogs;
    private final HttpCaller mHttp = new HttpCaller();
    private final Map<String, ManagedProcess> mEntries = new LinkedHashMap<>();
    private final Map<String, String> mRegionOf = new LinkedHashMap<>();
    private final Map<String, String> mKeys = new LinkedHashMap<>();
    private PlatformProcess mPlatform;
    private EndpointsProcess mEndpoints;
    private Inventory mInventory;

    private Fleet(Deployment deployment, FleetOptions options, Path logs) {
        mDeployment = deployment;
        mOptions = options;
        mLogs = logs;
    }

    /** Starts the stand-ins and a number of instances, and applies the inventory. */
    public static Fleet start(Deployment deployment, int instances, Path logs) {
        return start(deployment, FleetOptions.of(instances), logs);
    }

    /** Starts a fleet with other engines. */
    public static Fleet start(Deployment deployment, FleetOptions options, Path logs) {
        try {
            Files.createDirectories(logs);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Fleet fleet = new Fleet(deployment, options, logs);
        try {
            fleet.startAll();
            return fleet;
        } catch (RuntimeException e) {
            fleet.close();
            throw e;
        }
    }

    private void startAll() {
        mPlatform = new PlatformProcess(startStandIn("platform", List.of("platform")), mHttp);
        mEndpoints = new EndpointsProcess(startStandIn("endpoints", endpointArguments()), mHttp);
        mInventory =
                mDeployment.inventory(
                        mEndpoints.enginePorts(), mEndpoints.servicePorts(), mOptions.slots());
        List<CompletableFuture<Void>> starts = new ArrayList<>();
        for (int i = 0; i < mOptions.instances(); i++) {
            String region = mDeployment.regions().get(i % mDeployment.regions().size());
            int number = i / mDeployment.regions().size();
            String id = region + "-" + (number + 1);
            starts.add(CompletableFuture.runAsync(() -> startEntry(id, region, number)));
        }
        starts.forEach(CompletableFuture::join);
        apply(mInventory);
    }

    private List<String> endpointArguments() {
        List<String> arguments =
                new ArrayList<>(
                        List.of(
                                "endpoints",
                                "--engines",
                                Integer.toString(mDeployment.engines()),
                                "--services",
                                Integer.toString(mDeployment.services()),
                                "--slots",
                                Integer.toString(mOptions.slots()),
                                "--tokens-per-second",
                                Integer.toString(mOptions.tokensPerSecond()),
                                "--weights-port",
                                Integer.toString(mPlatform.port())));
        arguments.addAll(mOptions.endpointArguments());
        return arguments;
    }

    private ManagedProcess startStandIn(String name, List<String> arguments) {
        return ManagedProcess.start(jar("standins", STANDINS_JAR), log(name), arguments);
    }

    /** Returns the path of a packaged jar of a module. */
    public static Path jar(String module, String name) {
        String root = System.getProperty("filbertrudder.root", "..");
        return Path.of(root, "filbertrudder-" + module, "target", name).toAbsolutePath();
    }

    private Path log(String name) {
        return mLogs.resolve(name + ".log");
    }

    /** Starts an instance and puts it on the live list. */
    public void startEntry(String id, String region, int number) {
        ManagedProcess process =
                ManagedProcess.start(
                        jar("app", PRODUCT_JAR),
                        log(id),
                        List.of(
                                "entry",
                                "--id",
                                id,
                                "--region",
                                region,
                                "--failure-domain",
                                Deployment.failureDomain(region, number),
                                "--caller-port",
                                "0",
                                "--admin-port",
                                "0",
                                "--peer-port",
                                "0",
                                "--forward-port",
                                "0",
                                "--store",
                                mPlatform.address(),
                                "--platform",
                                mPlatform.address(),
                                "--seeds",
                                seeds(),
                                "--operators",
                                "demo:operate:" + TOKEN));
        synchronized (mEntries) {
            mEntries.put(id, process);
            mRegionOf.put(id, region);
        }
        mPlatform.setLive(id, "LIVE", "127.0.0.1:" + process.port("peers"));
    }

    private String seeds() {
        synchronized (mEntries) {
            return mEntries.values().stream()
                    .filter(ManagedProcess::alive)
                    .map(process -> "127.0.0.1:" + process.port("peers"))
                    .reduce((first, second) -> first + "," + second)
                    .orElse("");
        }
    }

    /** Returns the stand-in for the platform. */
    public PlatformProcess platform() {
        return mPlatform;
    }

    /** Returns the stand-ins for the endpoints. */
    public EndpointsProcess endpoints() {
        return mEndpoints;
    }

    /** Returns the inventory applied at the start. */
    public Inventory inventory() {
        return mInventory;
    }

    /** Returns the deployment. */
    public Deployment deployment() {
        return mDeployment;
    }

    /** Replaces the inventory; fails if it is not accepted. */
    public long apply(Inventory inventory) {
        return apply(inventory, anyEntry());
    }

    /** Replaces the inventory through an instance; fails if it is not accepted. */
    public long apply(Inventory inventory, String id) {
        Reply reply = admin(id, "PUT", "/inventory", inventory.toYaml());
        if (reply.status() != 200) {
            throw new IllegalStateException("The inventory was refused: " + reply.body());
        }
        return reply.json().path("revision").asLong();
    }

    /** Multiplies all contracts, so that rates do not limit a measurement. */
    public void raiseContracts(double factor) {
        List<Account> raised =
                mInventory.accounts().stream()
                        .map(
                                account ->
                                        new Account(
                                                account.id(),
                                                account.contract().scale(factor),
                                                account.residency(),
                                                account.shares()))
                        .toList();
        awaitRevision(
                apply(
                        new Inventory(
                                mInventory.regions(),
                                mInventory.links(),
                                mInventory.services(),
                                mInventory.endpoints(),
                                raised,
                                mInventory.rules())));
    }

    /** Runs the load tool to its end and returns what it printed. */
    public String runLoad(List<String> arguments) {
        List<String> words = new ArrayList<>(List.of("load"));
        words.addAll(arguments);
        return ManagedProcess.run(jar("standins", STANDINS_JAR), log("load"), words);
    }

    /** Runs a command of the product to its end and returns what it printed. */
    public String runProduct(List<String> arguments) {
        return ManagedProcess.run(jar("app", PRODUCT_JAR), log("commands"), arguments);
    }

    /** Returns an instance that runs. */
    public String anyEntry() {
        return mEntries.keySet().stream()
                .filter(id -> mEntries.get(id).alive())
                .findFirst()
                .orElseThrow();
    }

    /** Returns the ids of all instances ever started, in order. */
    public List<String> entries() {
        synchronized (mEntries) {
            return mEntries.keySet().stream().sorted().toList();
        }
    }

    /** Returns the region of an instance. */
    public String regionOf(String id) {
        return mRegionOf.get(id);
    }

    /** Returns the instances that run in a region. */
    public List<String> entriesIn(String region) {
        return entries().stream()
                .filter(id -> mRegionOf.get(id).equals(region) && mEntries.get(id).alive())
                .toList();
    }

    /** Returns the process of an instance. */
    public ManagedProcess process(String id) {
        return Objects.requireNonNull(mEntries.get(id), id);
    }

    /** Calls the administration API of an instance. */
    public Reply admin(String id, String method, String path, String body) {
        return mHttp.send(
                method,
                process(id).port("admin"),
                "/admin/v1" + path,
                Map.of("authorization", "Bearer " + TOKEN),
                body);
    }

    /** Issues a key; returns its id and text. */
    public IssuedKey issueKey(String account) {
        Reply reply = admin(anyEntry(), "POST", "/keys", "{\"account\":\"" + account + "\"}");
        if (reply.status() != 200) {
            throw new IllegalStateException("No key was issued: " + reply.body());
        }
        JsonNode json = reply.json();
        awaitRevision(json.path("revision").asLong());
        return new IssuedKey(json.path("id").asText(), json.path("key").asText());
    }

    /** Returns a key of the account, issued at the first call. */
    public String keyOf(String account) {
        return mKeys.computeIfAbsent(account, name -> issueKey(name).text());
    }

    /** Waits until a revision is in force on all running instances. */
    public void awaitRevision(long revision) {
        for (String id : entries()) {
            await(
                    "revision " + revision + " at " + id,
                    15_000,
                    () -> !process(id).alive() || revisionAt(id) >= revision);
        }
    }

    /** Returns the revision in force at an instance. */
    public long revisionAt(String id) {
        return dump(id).path("control").path("revision").asLong();
    }

    /** Returns the number of requests that an instance is running. */
    public int runningAt(String id) {
        return dump(id).path("metrics").path("requests.running").asInt();
    }

    /** Returns the sum of a counter over all instances. */
    public long counter(String name) {
        return entries().stream()
                .mapToLong(id -> dump(id).path("metrics").path(name).asLong())
                .sum();
    }

    /** Returns the state dump of an instance. */
    public JsonNode dump(String id) {
        Reply reply = admin(id, "GET", "/dump", null);
        return reply.status() == 200 ? reply.json() : MissingNode.getInstance();
    }

    /** Waits until all shards of all regions with a running instance have an owner. */
    public void awaitShards() {
        for (String id : entries()) {
            if (process(id).alive()) {
                await("shards at " + id, 30_000, () -> ownedShards(id) >= expectedShards());
            }
        }
    }

    private int expectedShards() {
        long regions =
                mDeployment.regions().stream().filter(each -> !entriesIn(each).isEmpty()).count();
        return (int) regions * 16;
    }

    private int ownedShards(String id) {
        int owned = 0;
        for (JsonNode owner : dump(id).path("control").path("shardOwners")) {
            ManagedProcess process = mEntries.get(owner.path("owner").asText());
            if (!owner.path("released").asBoolean() && process != null && process.alive()) {
                owned++;
            }
        }
        return owned;
    }

    /** Sends a chat request through an instance. */
    public CompletableFuture<Reply> chat(
            String id, String key, String prompt, int maxTokens, boolean stream) {
        return mHttp.sendLater(
                "POST",
                process(id).port("callers"),
                "/v1/chat/completions",
                Map.of("authorization", "Bearer " + key, "content-type", "application/json"),
                chatBody(prompt, maxTokens, stream));
    }

    /** Returns the body of a chat request. */
    public static String chatBody(String prompt, int maxTokens, boolean stream) {
        return String.format(
                "{\"model\":\"small\",\"max_tokens\":%d,\"stream\":%b,"
                        + "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
                maxTokens, stream, prompt);
    }

    /** Sends any request through an instance. */
    public Reply call(
            String id, String method, String uri, Map<String, String> headers, String body) {
        return mHttp.send(method, process(id).port("callers"), uri, headers, body);
    }

    /** Books a slot through an instance; the idempotency key may be null. */
    public CompletableFuture<Reply> book(
            String id, String key, String slot, String idempotencyKey) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("authorization", "Bearer " + key);
        headers.put("content-type", "application/json");
        if (idempotencyKey != null) {
            headers.put("idempotency-key", idempotencyKey);
        }
        return mHttp.sendLater(
                "POST",
                process(id).port("callers"),
                "/services/" + mDeployment.plainService() + "/bookings",
                headers,
                "{\"slot\":\"" + slot + "\"}");
    }

    /** Sends any request to any port of the fleet. */
    public Reply send(
            String method, int port, String uri, Map<String, String> headers, String body) {
        return mHttp.send(method, port, uri, headers, body);
    }

    /** Returns the instance that grants the tokens of an account in a region. */
    public String holderOf(String account, String region) {
        int shard = TokenHolder.shardOf(AccountId.of(account), TokenSettings.DEFAULT.shards());
        for (JsonNode owner : dump(anyEntry()).path("control").path("shardOwners")) {
            boolean here = owner.path("region").asText().equals(region);
            if (here && owner.path("shard").asInt() == shard) {
                return owner.path("owner").asText();
            }
        }
        throw new IllegalStateException("No instance holds " + account + " in " + region);
    }

    /** Returns the directory of log files. */
    public Path logs() {
        return mLogs;
    }

    /** Waits until the condition holds; fails with the description if it does not in time. */
    public static void await(String what, long timeoutMs, BooleanSupplier condition) {
        long untilNs = System.nanoTime() + timeoutMs * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > untilNs) {
                throw new AssertionError("Not within " + timeoutMs + " ms: " + what);
            }
            try {
                Thread.sleep(POLL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new AssertionError("Interrupted while waiting for: " + what, e);
            }
        }
    }

    @Override
    public void close() {
        mEntries.values().forEach(process -> process.signal("CONT"));
        mEntries.values().forEach(ManagedProcess::kill);
        if (mEndpoints != null) {
            mEndpoints.kill();
        }
        if (mPlatform != null) {
            mPlatform.kill();
        }
        mHttp.close();
    }

    /**
     * Holds a key that was issued.
     *
     * @param id the key's id
     * @param text the key as the caller shows it
     */
    public record IssuedKey(String id, String text) {}
}
