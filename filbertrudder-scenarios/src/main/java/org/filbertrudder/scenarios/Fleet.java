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

/**
 * Runs the instances of a deployment, the platform stand-in and the endpoint stand-ins as separate
 * processes on the loopback interface.
 */
public final class Fleet implements AutoCloseable {

    /** The operator token that all instances accept. */
    public static final String OPERATOR_TOKEN = "demo-operator-token";

    private static final long POLL_MS = 50;

    /** The file name of the executable jar of the product. */
    public static final String PRODUCT_JAR = "filbertrudder-app-0.1.0-all.jar";

    private static final String STANDINS_JAR = "filbertrudder-standins-0.1.0-all.jar";

    private final Deployment mDeployment;
    private final FleetOptions mOptions;
    private final Path mLogDirectory;
    private final LoopbackHttpClient mHttp = new LoopbackHttpClient();
    private final Map<String, ManagedProcess> mInstances = new LinkedHashMap<>();
    private final Map<String, String> mRegionByInstance = new LinkedHashMap<>();
    private final Map<String, String> mApiKeyByAccount = new LinkedHashMap<>();
    private PlatformStandInProcess mPlatform;
    private EndpointStandInsProcess mEndpoints;
    private Inventory mInitialInventory;

    private Fleet(Deployment deployment, FleetOptions options, Path logDirectory) {
        mDeployment = deployment;
        mOptions = options;
        mLogDirectory = logDirectory;
    }

    /** Starts the stand-ins and the given number of instances, and applies the inventory. */
    public static Fleet start(Deployment deployment, int instances, Path logDirectory) {
        return start(deployment, FleetOptions.of(instances), logDirectory);
    }

    /** Starts the stand-ins and the instances with the given options, and applies the inventory. */
    public static Fleet start(Deployment deployment, FleetOptions options, Path logDirectory) {
        try {
            Files.createDirectories(logDirectory);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Fleet fleet = new Fleet(deployment, options, logDirectory);
        try {
            fleet.startProcesses();
            return fleet;
        } catch (RuntimeException e) {
            fleet.close();
            throw e;
        }
    }

    private void startProcesses() {
        mPlatform =
                new PlatformStandInProcess(startStandIn("platform", List.of("platform")), mHttp);
        mEndpoints =
                new EndpointStandInsProcess(startStandIn("endpoints", endpointArguments()), mHttp);
        mInitialInventory =
                mDeployment.inventory(
                        mEndpoints.enginePorts(), mEndpoints.servicePorts(), mOptions.slots());
        List<CompletableFuture<Void>> starts = new ArrayList<>();
        for (int i = 0; i < mOptions.instances(); i++) {
            String region = mDeployment.regions().get(i % mDeployment.regions().size());
            int number = i / mDeployment.regions().size();
            String instanceId = region + "-" + (number + 1);
            starts.add(CompletableFuture.runAsync(() -> startInstance(instanceId, region, number)));
        }
        starts.forEach(CompletableFuture::join);
        applyInventory(mInitialInventory);
    }

    private List<String> endpointArguments() {
        List<String> arguments =
                new ArrayList<>(
                        List.of(
                                "endpoints",
                                "--engines",
                                Integer.toString(mDeployment.engineCount()),
                                "--services",
                                Integer.toString(mDeployment.plainEndpointCount()),
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
        return ManagedProcess.start(jar("standins", STANDINS_JAR), logFile(name), arguments);
    }

    /** Returns the path of a jar that the build of a module has packaged. */
    public static Path jar(String module, String name) {
        String root = System.getProperty("filbertrudder.root", "..");
        return Path.of(root, "filbertrudder-" + module, "target", name).toAbsolutePath();
    }

    private Path logFile(String name) {
        return mLogDirectory.resolve(name + ".log");
    }

    /**
     * Starts an instance and adds it to the platform's live list; the number selects its failure
     * domain.
     */
    public void startInstance(String instanceId, String region, int number) {
        startInstance(instanceId, region, number, List.of());
    }

    /** Starts an instance with additional arguments and adds it to the platform's live list. */
    public void startInstance(
            String instanceId, String region, int number, List<String> additionalArguments) {
        List<String> arguments =
                new ArrayList<>(
                        List.of(
                                "entry",
                                "--id",
                                instanceId,
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
                                seedAddresses(),
                                "--operators",
                                "demo:operate:" + OPERATOR_TOKEN));
        arguments.addAll(additionalArguments);
        ManagedProcess process =
                ManagedProcess.start(jar("app", PRODUCT_JAR), logFile(instanceId), arguments);
        synchronized (mInstances) {
            mInstances.put(instanceId, process);
            mRegionByInstance.put(instanceId, region);
        }
        mPlatform.putLiveListEntry(instanceId, "LIVE", "127.0.0.1:" + process.port("peers"));
    }

    private String seedAddresses() {
        synchronized (mInstances) {
            return mInstances.values().stream()
                    .filter(ManagedProcess::isRunning)
                    .map(process -> "127.0.0.1:" + process.port("peers"))
                    .reduce((first, second) -> first + "," + second)
                    .orElse("");
        }
    }

    /** Returns the process of the platform stand-in. */
    public PlatformStandInProcess platform() {
        return mPlatform;
    }

    /** Returns the process of the endpoint stand-ins. */
    public EndpointStandInsProcess endpoints() {
        return mEndpoints;
    }

    /** Returns the inventory that was applied at startup; later changes do not alter it. */
    public Inventory initialInventory() {
        return mInitialInventory;
    }

    /** Returns the deployment. */
    public Deployment deployment() {
        return mDeployment;
    }

    /**
     * Replaces the inventory through any instance and returns the new revision; fails if rejected.
     */
    public long applyInventory(Inventory inventory) {
        return applyInventory(inventory, anyRunningInstance());
    }

    /**
     * Replaces the inventory through an instance and returns the new revision; fails if rejected.
     */
    public long applyInventory(Inventory inventory, String instanceId) {
        Reply reply = callAdminApi(instanceId, "PUT", "/inventory", inventory.toYaml());
        if (reply.status() != 200) {
            throw new IllegalStateException("The inventory was rejected: " + reply.body());
        }
        return reply.json().path("revision").asLong();
    }

    /** Multiplies all contracts by a factor, so that rate limits do not affect a measurement. */
    public void scaleContracts(double factor) {
        List<Account> scaled =
                mInitialInventory.accounts().stream()
                        .map(
                                account ->
                                        new Account(
                                                account.id(),
                                                account.contract().scale(factor),
                                                account.residency(),
                                                account.shares()))
                        .toList();
        awaitRevision(
                applyInventory(
                        new Inventory(
                                mInitialInventory.regions(),
                                mInitialInventory.links(),
                                mInitialInventory.services(),
                                mInitialInventory.endpoints(),
                                scaled,
                                mInitialInventory.rules())));
    }

    /** Runs the load generator until it exits and returns its standard output. */
    public String runLoadGenerator(List<String> arguments) {
        List<String> command = new ArrayList<>(List.of("load"));
        command.addAll(arguments);
        return ManagedProcess.run(jar("standins", STANDINS_JAR), logFile("load"), command);
    }

    /** Runs an operator command until it exits and returns its standard output. */
    public String runOperatorCommand(List<String> arguments) {
        return ManagedProcess.run(jar("app", PRODUCT_JAR), logFile("commands"), arguments);
    }

    /** Returns the id of the first running instance. */
    public String anyRunningInstance() {
        return mInstances.keySet().stream()
                .filter(instanceId -> mInstances.get(instanceId).isRunning())
                .findFirst()
                .orElseThrow();
    }

    /** Returns the sorted ids of all instances, including those that have exited. */
    public List<String> instanceIds() {
        synchronized (mInstances) {
            return mInstances.keySet().stream().sorted().toList();
        }
    }

    /** Returns the region of an instance. */
    public String regionOf(String instanceId) {
        return mRegionByInstance.get(instanceId);
    }

    /** Returns the ids of the running instances of a region. */
    public List<String> runningInstancesIn(String region) {
        return instanceIds().stream()
                .filter(
                        instanceId ->
                                mRegionByInstance.get(instanceId).equals(region)
                                        && mInstances.get(instanceId).isRunning())
                .toList();
    }

    /** Returns the process of an instance. */
    public ManagedProcess process(String instanceId) {
        return Objects.requireNonNull(mInstances.get(instanceId), instanceId);
    }

    /** Calls the administration API of an instance with the operator token. */
    public Reply callAdminApi(String instanceId, String method, String path, String body) {
        return mHttp.send(
                method,
                process(instanceId).port("admin"),
                "/admin/v1" + path,
                Map.of("authorization", "Bearer " + OPERATOR_TOKEN),
                body);
    }

    /** Issues an API key and waits until all running instances have applied the change. */
    public IssuedApiKey issueApiKey(String account) {
        Reply reply =
                callAdminApi(
                        anyRunningInstance(), "POST", "/keys", "{\"account\":\"" + account + "\"}");
        if (reply.status() != 200) {
            throw new IllegalStateException("The API key was not issued: " + reply.body());
        }
        JsonNode json = reply.json();
        awaitRevision(json.path("revision").asLong());
        return new IssuedApiKey(json.path("id").asText(), json.path("key").asText());
    }

    /** Returns the API key of an account; the first call issues it. */
    public String apiKeyOf(String account) {
        return mApiKeyByAccount.computeIfAbsent(account, name -> issueApiKey(name).apiKey());
    }

    /** Waits until all running instances have applied a revision. */
    public void awaitRevision(long revision) {
        for (String instanceId : instanceIds()) {
            await(
                    "revision " + revision + " at " + instanceId,
                    15_000,
                    () -> !process(instanceId).isRunning() || revisionAt(instanceId) >= revision);
        }
    }

    /** Returns the revision that an instance has applied. */
    public long revisionAt(String instanceId) {
        return dump(instanceId).path("control").path("revision").asLong();
    }

    /** Returns the number of requests that an instance is running. */
    public int runningRequestsAt(String instanceId) {
        return dump(instanceId).path("metrics").path("requests.running").asInt();
    }

    /** Returns the sum of a counter over all instances. */
    public long totalCounter(String name) {
        return instanceIds().stream()
                .mapToLong(instanceId -> dump(instanceId).path("metrics").path(name).asLong())
                .sum();
    }

    /** Returns the state dump of an instance. */
    public JsonNode dump(String instanceId) {
        Reply reply = callAdminApi(instanceId, "GET", "/dump", null);
        return reply.status() == 200 ? reply.json() : MissingNode.getInstance();
    }

    /** Waits until all shards of all regions with a running instance have a running owner. */
    public void awaitShardOwnership() {
        for (String instanceId : instanceIds()) {
            if (process(instanceId).isRunning()) {
                await(
                        "a running owner of every shard according to " + instanceId,
                        30_000,
                        () -> countOwnedShards(instanceId) >= expectedShardCount());
            }
        }
    }

    private int expectedShardCount() {
        long regions =
                mDeployment.regions().stream()
                        .filter(region -> !runningInstancesIn(region).isEmpty())
                        .count();
        return (int) regions * 16;
    }

    private int countOwnedShards(String instanceId) {
        int owned = 0;
        for (JsonNode owner : dump(instanceId).path("control").path("shardOwners")) {
            ManagedProcess process = mInstances.get(owner.path("owner").asText());
            if (!owner.path("released").asBoolean() && process != null && process.isRunning()) {
                owned++;
            }
        }
        return owned;
    }

    /** Sends a chat completion request to the caller port of an instance. */
    public CompletableFuture<Reply> sendChat(
            String instanceId, String key, String prompt, int maxTokens, boolean stream) {
        return mHttp.sendAsync(
                "POST",
                process(instanceId).port("callers"),
                "/v1/chat/completions",
                Map.of("authorization", "Bearer " + key, "content-type", "application/json"),
                chatBody(prompt, maxTokens, stream));
    }

    /** Returns the JSON body of a chat completion request. */
    public static String chatBody(String prompt, int maxTokens, boolean stream) {
        return String.format(
                "{\"model\":\"small\",\"max_tokens\":%d,\"stream\":%b,"
                        + "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
                maxTokens, stream, prompt);
    }

    /** Sends a request to the caller port of an instance. */
    public Reply sendToCallerPort(
            String instanceId,
            String method,
            String uri,
            Map<String, String> headers,
            String body) {
        return mHttp.send(method, process(instanceId).port("callers"), uri, headers, body);
    }

    /** Books a slot through an instance; the idempotency key may be null. */
    public CompletableFuture<Reply> sendBooking(
            String instanceId, String key, String slot, String idempotencyKey) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("authorization", "Bearer " + key);
        headers.put("content-type", "application/json");
        if (idempotencyKey != null) {
            headers.put("idempotency-key", idempotencyKey);
        }
        return mHttp.sendAsync(
                "POST",
                process(instanceId).port("callers"),
                "/services/" + mDeployment.plainServiceId() + "/bookings",
                headers,
                "{\"slot\":\"" + slot + "\"}");
    }

    /** Sends any request to any port of the fleet. */
    public Reply send(
            String method, int port, String uri, Map<String, String> headers, String body) {
        return mHttp.send(method, port, uri, headers, body);
    }

    /** Returns the id of the instance that grants the tokens of an account in a region. */
    public String tokenHolderOf(String account, String region) {
        int shard = TokenHolder.shardOf(AccountId.of(account), TokenSettings.DEFAULT.shards());
        for (JsonNode owner : dump(anyRunningInstance()).path("control").path("shardOwners")) {
            boolean inRegion = owner.path("region").asText().equals(region);
            if (inRegion && owner.path("shard").asInt() == shard) {
                return owner.path("owner").asText();
            }
        }
        throw new IllegalStateException(
                "No instance grants tokens of " + account + " in " + region);
    }

    /** Returns the directory of log files. */
    public Path logDirectory() {
        return mLogDirectory;
    }

    /** Waits until the condition is true; fails with the description after the timeout. */
    public static void await(String description, long timeoutMs, BooleanSupplier condition) {
        long deadlineNs = System.nanoTime() + timeoutMs * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNs) {
                throw new AssertionError(
                        "Timed out after " + timeoutMs + " ms waiting for: " + description);
            }
            try {
                Thread.sleep(POLL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new AssertionError("Interrupted while waiting for: " + description, e);
            }
        }
    }

    @Override
    public void close() {
        mInstances.values().forEach(process -> process.sendSignal("CONT"));
        mInstances.values().forEach(ManagedProcess::kill);
        if (mEndpoints != null) {
            mEndpoints.kill();
        }
        if (mPlatform != null) {
            mPlatform.kill();
        }
        mHttp.close();
    }

    /**
     * Holds an issued API key.
     *
     * @param keyId the id of the key, by which operators withdraw it
     * @param apiKey the full key that callers send
     */
    public record IssuedApiKey(String keyId, String apiKey) {}
}
