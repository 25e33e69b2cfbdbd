package org.filbertrudder.scenarios;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.filbertrudder.model.Json;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests the operator commands of the executable against a fleet. */
public class OperatorCommandsTest {

    private Fleet mFleet;
    private Path mInventoryDirectory;

    @BeforeClass
    public void startFleet() throws IOException {
        mFleet = Fleet.start(Deployment.BUREAU, 3, Path.of("target", "operator-logs"));
        mFleet.awaitShardOwnership();
        mInventoryDirectory = Files.createTempDirectory("inventory");
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        if (mFleet != null) {
            mFleet.close();
        }
    }

    private String runCommand(String... command) {
        List<String> arguments = new ArrayList<>(List.of(command));
        arguments.addAll(
                List.of(
                        "--admin",
                        "http://127.0.0.1:" + mFleet.process("mtl-1").port("admin"),
                        "--token",
                        Fleet.OPERATOR_TOKEN));
        return mFleet.runOperatorCommand(arguments).trim();
    }

    private static JsonNode parseJson(String text) {
        return Json.read(text, JsonNode.class);
    }

    private String writeInventory(String inventory) throws IOException {
        return Files.writeString(mInventoryDirectory.resolve("inventory.yaml"), inventory)
                .toString();
    }

    @Test
    public void getsComparesAndAppliesAnInventory() throws IOException {
        String inventory = runCommand("inventory", "get");
        String file =
                writeInventory(inventory.replace("maxQueueWaitMs: 10000", "maxQueueWaitMs: 9000"));

        JsonNode edits = parseJson(runCommand("inventory", "diff", file)).path("edits");
        long revision = parseJson(runCommand("inventory", "apply", file)).path("revision").asLong();

        assertEquals(edits.size(), 1, edits.toString());
        mFleet.awaitRevision(revision);
        Fleet.await(
                "the change in force on all instances",
                15_000,
                () ->
                        parseJson(
                                        runCommand(
                                                "changes",
                                                "status",
                                                "--revision",
                                                Long.toString(revision)))
                                .path("inForceEverywhere")
                                .asBoolean());
        assertTrue(runCommand("inventory", "get").contains("maxQueueWaitMs: 9000"));
        assertTrue(runCommand("changes", "list").contains("\"author\":\"demo\""));
    }

    @Test
    public void rejectsAChangeThatLeavesAServiceWithoutEndpoints() throws IOException {
        String inventory = runCommand("inventory", "get");
        int endpoints = inventory.indexOf("endpoints:");
        int accounts = inventory.indexOf("accounts:");
        String withoutEndpoints = inventory.substring(0, endpoints) + inventory.substring(accounts);

        String output = runCommand("inventory", "apply", writeInventory(withoutEndpoints));

        assertTrue(output.contains("service/bookings.endpoints"), output);
        assertEquals(runCommand("inventory", "get"), inventory);
    }

    @Test
    public void rejectsAChangeBasedOnAnOutdatedRevision() throws IOException {
        String file =
                writeInventory(
                        runCommand("inventory", "get")
                                .replace("retryShare: 0.1", "retryShare: 0.2"));

        String output = runCommand("inventory", "apply", file, "--if-revision", "0");

        assertTrue(output.contains("\"code\":\"conflict\""), output);
    }

    @Test
    public void issuesListsAndWithdrawsAKeyWithoutRevealingItsSecretAgain() {
        JsonNode issued = parseJson(runCommand("keys", "issue", "museum"));
        String apiKey = issued.path("key").asText();
        String id = issued.path("id").asText();

        String keyList = runCommand("keys", "list");
        String dump = runCommand("dump");
        String withdrawn = runCommand("keys", "withdraw", id);
        String withdrawnAgain = runCommand("keys", "withdraw", id);

        assertTrue(keyList.contains(id), keyList);
        String secretPart = apiKey.substring(apiKey.lastIndexOf('.') + 1);
        assertFalse(keyList.contains(secretPart) || dump.contains(secretPart));
        assertTrue(withdrawn.contains("withdrawn"), withdrawn);
        assertTrue(withdrawnAgain.contains("no such key"), withdrawnAgain);
        assertFalse(logsContain(secretPart), "a log file contains the secret");
    }

    private boolean logsContain(String text) {
        return List.of("mtl-1.log", "sag-1.log", "gas-1.log", "endpoints.log").stream()
                .anyMatch(name -> readFile(mFleet.logDirectory().resolve(name)).contains(text));
    }

    private static String readFile(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    public void listsInstancesAndEntries() {
        String instances = runCommand("instances", "list");
        String url = "http://127.0.0.1:" + mFleet.process("sag-1").port("callers");
        String entries = runCommand("entries", "--url", url);

        for (String id : mFleet.instanceIds()) {
            assertTrue(instances.contains(id), instances);
            assertTrue(entries.contains(id), entries);
        }
        assertEquals(parseJson(entries).path("entries").get(0).path("region").asText(), "sag");
    }

    @Test
    public void entriesStartWithTheTokenHolderOfTheAccount() {
        String key = mFleet.apiKeyOf("club-north");
        Reply reply =
                mFleet.sendToCallerPort(
                        "gas-1",
                        "GET",
                        "/v1/entries",
                        Map.of("authorization", "Bearer " + key),
                        null);

        String firstEntry = reply.json().path("entries").get(0).path("id").asText();

        assertEquals(firstEntry, mFleet.tokenHolderOf("club-north", "gas"));
    }

    @Test
    public void rejectsAWrongToken() {
        String output =
                mFleet.runOperatorCommand(
                        List.of(
                                "dump",
                                "--admin",
                                "http://127.0.0.1:" + mFleet.process("mtl-1").port("admin"),
                                "--token",
                                "wrong"));

        assertTrue(output.contains("credential_invalid"), output);
    }

    @Test
    public void issuesReplacesAndWithdrawsAnOperatorTokenWithoutARestart() {
        String firstToken =
                tokenOf(runCommand("operators", "issue", "night-shift", "--role", "READ"));
        String secondToken =
                tokenOf(runCommand("operators", "issue", "night-shift", "--role", "OPERATE"));

        for (String id : mFleet.instanceIds()) {
            Fleet.await(
                    "the acceptance of the second token at " + id,
                    15_000,
                    () -> statusOf(id, secondToken) == 200);
            assertEquals(statusOf(id, firstToken), 401, id);
        }
        assertTrue(runCommand("operators", "list").contains("night-shift"));
        runCommand("operators", "withdraw", "night-shift");
        for (String id : mFleet.instanceIds()) {
            Fleet.await(
                    "the rejection of the withdrawn token at " + id,
                    15_000,
                    () -> statusOf(id, secondToken) == 401);
        }
        assertTrue(runCommand("operators", "withdraw", "night-shift").contains("no such operator"));
    }

    private String tokenOf(String output) {
        mFleet.awaitRevision(parseJson(output).path("revision").asLong());
        return parseJson(output).path("token").asText();
    }

    private int statusOf(String id, String token) {
        return mFleet.send(
                        "GET",
                        mFleet.process(id).port("admin"),
                        "/admin/v1/instances",
                        Map.of("authorization", "Bearer " + token),
                        null)
                .status();
    }
}
