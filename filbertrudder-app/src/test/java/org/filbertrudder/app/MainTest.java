package org.filbertrudder.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the command line and the validation of settings and configuration documents. */
public class MainTest {

    private static final String CONFIGURATION =
            """
            {"version":7,
             "routes":[{"name":"r-1","host":"h","pathPrefix":"/book/","type":"unsafe",
               "timeoutMs":2500,"goalMs":500,"service":"desk","attempts":1,"homeRegions":["sag"]}],
             "services":[{"name":"desk"}],
             "tenants":[{"name":"club","apiKeys":["k"],"homeRegions":["sag", "mtl"]}]}
            """;

    /** Log lines of two instances, with lines of a launcher and malformed lines between them. */
    private static final String LOGS =
            """
            Starting the machine.
            1.0 mtl-1 {"time":"2026-12-04T08:00:00.900Z","message":"endpoints: An endpoint accepts \
            no connection.","endpoint":"i-1"}
            1.0 mtl-1 {"time":"2026-12-04T08:00:00.950Z","message":"endpoints: An endpoint accepts \
            no connection.","endpoint":"i-9"}
            1.1 mtl-1 {"time":"2026-12-04T08:00:01Z","message":"request: Ended.","id":"a1",\
            "outcome":"answer_lost","status":"502","runs":"1","steps":"to=i-1@5 lost"}
            1.1 mtl-1 {"time":"2026-12-04T08:00:01Z","message":"request: Ended.","id":"a2",\
            "outcome":"answered","status":"200","runs":"1","steps":"to=i-2@5"}
            1.2 mtl-2 {"time":"2026-12-04T08:00:01.100Z","message":"request: Ended.","id":"a1",\
            "outcome":"answer_lost","status":"502","runs":"1","steps":"via=mtl-1@0"}
            2.0 mtl-1 {"time":"not a time","message":"odd"}
            {broken
            """;

    private static Map<String, String> validEnvironment() {
        Map<String, String> environment = new HashMap<>();
        environment.put("FILBERTRUDDER_ID", "mtl-1");
        environment.put("FILBERTRUDDER_REGION", "mtl");
        environment.put("FILBERTRUDDER_FAILURE_DOMAIN", "mtl-a");
        environment.put("FILBERTRUDDER_STORE", "127.0.0.1:2379");
        environment.put("FILBERTRUDDER_PLATFORM", "127.0.0.1:2380");
        environment.put("FILBERTRUDDER_OPERATORS", "anna:operate:secret");
        return environment;
    }

    private static RunResult run(Map<String, String> environment, String... arguments) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(printed, true, StandardCharsets.UTF_8);
        try {
            System.setOut(stream);
            System.setErr(stream);
            return new RunResult(
                    Main.run(arguments, environment), printed.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    @Test
    public void acceptsSettingsFromEnvironment() {
        assertEquals(run(validEnvironment(), "check-settings").code(), ExitCode.OK);
    }

    @Test
    public void flagOverridesEnvironmentVariable() {
        RunResult result = run(validEnvironment(), "check-settings", "--caller-port", "70000");

        assertEquals(result.code(), ExitCode.USAGE);
        assertTrue(result.output().contains("--caller-port"), result.output());
    }

    @Test
    public void reportsAllInvalidSettingsAtOnce() {
        RunResult result = run(Map.of(), "check-settings", "--log-level", "loud");

        assertEquals(result.code(), ExitCode.USAGE);
        for (String flag :
                new String[] {
                    "--id",
                    "--region",
                    "--failure-domain",
                    "--store",
                    "--platform",
                    "--operators",
                    "--log-level"
                }) {
            assertTrue(result.output().contains(flag + " "), flag + " in " + result.output());
        }
    }

    @DataProvider
    public Object[][] invalidSettings() {
        return new Object[][] {
            {"HOST", "10.0.0.1", "--peer-certificate"},
            {"HOST", "10.0.0.1", "--caller-certificate"},
            {"PEER_KEY", "-----BEGIN X", "--peer-certificate"},
            {"CALLER_CERTIFICATE", "-----BEGIN X", "--caller-key"},
            {"CALLER_KEY", "/no/such/file", "--caller-key"},
            {"OPERATORS", "anna:admin:x", "--operators"},
            {"OPERATORS", "anna", "--operators"},
            {"SEEDS", "127.0.0.1", "--seeds"},
            {"STORE", "nowhere", "--store"},
            {"TRAFFIC_THREADS", "0", "--traffic-threads"},
            {"LOG_FORMAT", "xml", "--log-format"},
            {"ID", "not an id", "--id"},
        };
    }

    @Test(dataProvider = "invalidSettings")
    public void reportsFlagOfInvalidSetting(String name, String value, String flag) {
        Map<String, String> environment = validEnvironment();
        environment.put("FILBERTRUDDER_" + name, value);

        RunResult result = run(environment, "check-settings");

        assertEquals(result.code(), ExitCode.USAGE);
        assertTrue(result.output().contains(flag + " "), result.output());
    }

    @Test
    public void errorMessagesDoNotContainTokens() {
        Map<String, String> environment = validEnvironment();
        environment.put("FILBERTRUDDER_OPERATORS", "anna:nobody:hushhush");

        assertTrue(!run(environment, "check-settings").output().contains("hushhush"));
    }

    /** Edits of a valid configuration, and a word that the resulting error message contains. */
    @DataProvider
    public Object[][] invalidConfigurations() {
        return new Object[][] {
            {"\"/book/\"", "\"book\"", "slash"},
            {"\"desk\",\"attempts\"", "\"nowhere\",\"attempts\"", "unknown service"},
            {"\"attempts\":1", "\"attempts\":3", "run once"},
            {"\"goalMs\":500", "\"goalMs\":9500", "goal"},
            {"\"homeRegions\":[\"sag\"]", "\"homeRegions\":[\"gas\"]", "home in common"},
            {"{\"version\"", "\"version\"", "JSON"},
        };
    }

    @Test(dataProvider = "invalidConfigurations")
    public void reportsReasonForInvalidConfiguration(
            String text, String replacement, String expectedWord) throws IOException {
        assertTrue(CONFIGURATION.contains(text));

        RunResult result = checkConfiguration(CONFIGURATION.replace(text, replacement));

        assertEquals(result.code(), ExitCode.USAGE);
        assertTrue(result.output().contains(expectedWord), result.output());
    }

    @Test
    public void acceptsValidConfiguration() throws IOException {
        RunResult result = checkConfiguration(CONFIGURATION);

        assertEquals(result.code(), ExitCode.OK, result.output());
        assertTrue(result.output().contains("Version 7"), result.output());
    }

    private static RunResult checkConfiguration(String document) throws IOException {
        Path file = Files.createTempFile("configuration", ".json");
        try {
            Files.writeString(file, document);
            return run(Map.of(), "check-platform-configuration", file.toString());
        } finally {
            Files.delete(file);
        }
    }

    @Test
    public void missingConfigurationFileIsUsageError() {
        assertEquals(
                run(Map.of(), "check-platform-configuration", "/no/such/file").code(),
                ExitCode.USAGE);
    }

    @Test
    public void explainPrintsLinesOfRequestFromAllInstances() {
        RunResult result = explain("a1");

        assertEquals(result.code(), ExitCode.OK, result.output());
        assertTrue(result.output().contains("outcome: answer_lost"), result.output());
        assertTrue(result.output().contains("mtl-2"), result.output());
        assertTrue(result.output().contains("An endpoint accepts no connection"), result.output());
        assertFalse(result.output().contains("i-9"), result.output());
        assertFalse(result.output().contains("\"a2\""), result.output());
    }

    @Test
    public void explainFailsForUnknownRequestId() {
        RunResult result = explain("a9");

        assertEquals(result.code(), ExitCode.FAILED);
        assertTrue(result.output().contains("a9"), result.output());
    }

    private static RunResult explain(String id) {
        InputStream in = System.in;
        try {
            System.setIn(new ByteArrayInputStream(LOGS.getBytes(StandardCharsets.UTF_8)));
            return run(Map.of(), "explain", id);
        } finally {
            System.setIn(in);
        }
    }

    @Test
    public void unknownCommandIsUsageError() {
        assertEquals(run(Map.of(), "dance").code(), ExitCode.USAGE);
    }

    @Test
    public void helpAndVersionSucceed() {
        assertEquals(run(Map.of(), "--help").code(), ExitCode.OK);
        assertEquals(run(Map.of(), "--version").code(), ExitCode.OK);
    }

    @Test
    public void operatorCommandWithoutAdminUrlIsUsageError() {
        RunResult result = run(Map.of(), "inventory", "get");

        assertEquals(result.code(), ExitCode.USAGE);
        assertTrue(result.output().contains("--admin"), result.output());
    }

    private record RunResult(int code, String output) {}
}
