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

/** Runs the operators' commands of the executable against a fleet. */
public class OperatorCommandsTest {

    private Fleet mFleet;
    private Path mDirectory;

    @BeforeClass
    public void startFleet() throws IOException {
        mFleet = Fleet.start(Deployment.BUREAU, 3, Path.of("target", "operator-logs"));
        mFleet.awaitShardOwnership();
        mDirectory = Files.createTempDirectory("inventory");
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        if (mFleet != null) {
            mFleet.close();
        }
    }

    private String run(String... words) {
        List<String> arguments = new ArrayList<>(List.of(words));
        arguments.addAll(
                List.of(
                        "--admin",
                        "http://127.0.0.1:" + mFleet.process("mtl-1").port("admin"),
                        "--token",
                        Fleet.OPERATOR_TOKEN));
        return mFleet.runOperatorCommand(arguments).trim();
    }

    private static JsonNode json(String text) {
        return Json.read(text, JsonNode.class);
    }

    private String write(String inventory) throws IOException {
        return Files.writeString(mDirectory.resolve("inventory.yaml"), inventory).toString();
    }

    @Test
    public void anInventoryIsReadComparedAndApplied() throws IOException {
        String inventory = run("inventory", "get");
        String file = write(inventory.replace("maxQueueWaitMs: 10000", "maxQueueWaitMs: 9000"));

        JsonNode edits = json(run("inventory", "diff", file)).path("edits");
        long revision = json(run("inventory", "apply", file)).path("revision").asLong();

        assertEquals(edits.size(), 1, edits.toString());
        mFleet.awaitRevision(revision);
        Fleet.await(
                "the change in force",
                15_000,
                () ->
                        json(run("changes", "status", "--revision", Long.toString(revision)))
                                .path("inForceEverywhere")
                                .asBoolean());
        assertTrue(run("inventory", "get").contains("maxQueueWaitMs: 9000"));
        assertTrue(run("changes", "list").contains("\"author\":\"demo\""));
    }

    @Test
    public void aChangeThatWouldOrphanAServiceIsRefusedWithItsPath() throws IOException {
        String inventory = run("inventory", "get");
        int endpoints = inventory.indexOf("endpoints:");
        int accounts = inventory.indexOf("accounts:");
        String orphaned = inventory.substring(0, endpoints) + inventory.substring(accounts);

        String answer = run("inventory", "apply", write(orphaned));

        assertTrue(answer.contains("service/bookings.endpoints"), answer);
        assertEquals(run("inventory", "get"), inventory);
    }

    @Test
    public void aChangeBasedOnAnOldRevisionIsRefused() throws IOException {
        String file = write(run("inventory", "get").replace("retryShare: 0.1", "retryShare: 0.2"));

        String answer = run("inventory", "apply", file, "--if-revision", "0");

        assertTrue(answer.contains("\"code\":\"conflict\""), answer);
    }

    @Test
    public void aKeyIsShownOnceListedWithoutItsSecretAndWithdrawn() {
        JsonNode issued = json(run("keys", "issue", "museum"));
        String secret = issued.path("key").asText();
        String id = issued.path("id").asText();

        String list = run("keys", "list");
        String dump = run("dump");
        String withdrawn = run("keys", "withdraw", id);
        String again = run("keys", "withdraw", id);

        assertTrue(list.contains(id), list);
        String secretPart = secret.substring(secret.lastIndexOf('.') + 1);
        assertFalse(list.contains(secretPart) || dump.contains(secretPart));
        assertTrue(withdrawn.contains("withdrawn"), withdrawn);
        assertTrue(again.contains("no such key"), again);
        assertFalse(logsContain(secretPart), "a log contains the secret");
    }

    private boolean logsContain(String text) {
        return List.of("mtl-1.log", "sag-1.log", "gas-1.log", "endpoints.log").stream()
                .anyMatch(name -> read(mFleet.logDirectory().resolve(name)).contains(text));
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    public void instancesAndEntriesAreListed() {
        String instances = run("instances", "list");
        String url = "http://127.0.0.1:" + mFleet.process("sag-1").port("callers");
        String entries = run("entries", "--url", url);

        for (String id : mFleet.instanceIds()) {
            assertTrue(instances.contains(id), instances);
            assertTrue(entries.contains(id), entries);
        }
        assertEquals(json(entries).path("entries").get(0).path("region").asText(), "sag");
    }

    @Test
    public void theListBeginsWithTheHolderOfTheCallersAccount() {
        String key = mFleet.apiKeyOf("club-north");
        Reply reply =
                mFleet.sendToCallerPort(
                        "gas-1",
                        "GET",
                        "/v1/entries",
                        Map.of("authorization", "Bearer " + key),
                        null);

        String first = reply.json().path("entries").get(0).path("id").asText();

        assertEquals(first, mFleet.tokenHolderOf("club-north", "gas"));
    }

    @Test
    public void aWrongTokenIsRefused() {
        String answer =
                mFleet.runOperatorCommand(
                        List.of(
                                "dump",
                                "--admin",
                                "http://127.0.0.1:" + mFleet.process("mtl-1").port("admin"),
                                "--token",
                                "wrong"));

        assertTrue(answer.contains("credential_invalid"), answer);
    }

    @Test
    public void anOperatorsTokenIsIssuedReplacedAndWithdrawnWithoutARestart() {
        String first = token(run("operators", "issue", "night-shift", "--role", "READ"));
        String second = token(run("operators", "issue", "night-shift", "--role", "OPERATE"));

        for (String id : mFleet.instanceIds()) {
            Fleet.await("the second token at " + id, 15_000, () -> status(id, second) == 200);
            assertEquals(status(id, first), 401, id);
        }
        assertTrue(run("operators", "list").contains("night-shift"));
        run("operators", "withdraw", "night-shift");
        for (String id : mFleet.instanceIds()) {
            Fleet.await("the withdrawal at " + id, 15_000, () -> status(id, second) == 401);
        }
        assertTrue(run("operators", "withdraw", "night-shift").contains("no such operator"));
    }

    private String token(String answer) {
        mFleet.awaitRevision(json(answer).path("revision").asLong());
        return json(answer).path("token").asText();
    }

    private int status(String id, String token) {
        return mFleet.send(
                        "GET",
                        mFleet.process(id).port("admin"),
                        "/admin/v1/instances",
                        Map.of("authorization", "Bearer " + token),
                        null)
                .status();
    }
}
