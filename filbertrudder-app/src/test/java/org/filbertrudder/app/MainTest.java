package org.filbertrudder.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the command line and the checks of the settings. */
public class MainTest {

    private static Map<String, String> goodEnvironment() {
        Map<String, String> environment = new HashMap<>();
        environment.put("FILBERTRUDDER_ID", "mtl-1");
        environment.put("FILBERTRUDDER_REGION", "mtl");
        environment.put("FILBERTRUDDER_FAILURE_DOMAIN", "mtl-a");
        environment.put("FILBERTRUDDER_STORE", "127.0.0.1:2379");
        environment.put("FILBERTRUDDER_PLATFORM", "127.0.0.1:2380");
        environment.put("FILBERTRUDDER_OPERATORS", "anna:operate:secret");
        return environment;
    }

    private static Outcome run(Map<String, String> environment, String... arguments) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(printed, true, StandardCharsets.UTF_8);
        try {
            System.setOut(stream);
            System.setErr(stream);
            return new Outcome(
                    Main.run(arguments, environment), printed.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    @Test
    public void acceptsSettingsFromTheEnvironment() {
        assertEquals(run(goodEnvironment(), "check-settings").code(), ExitCode.OK);
    }

    @Test
    public void aFlagWinsOverTheEnvironment() {
        Outcome outcome = run(goodEnvironment(), "check-settings", "--caller-port", "70000");

        assertEquals(outcome.code(), ExitCode.USAGE);
        assertTrue(outcome.text().contains("--caller-port"), outcome.text());
    }

    @Test
    public void listsAllWrongSettingsAtOnce() {
        Outcome outcome = run(Map.of(), "check-settings", "--log-level", "loud");

        assertEquals(outcome.code(), ExitCode.USAGE);
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
            assertTrue(outcome.text().contains(flag + " "), flag + " in " + outcome.text());
        }
    }

    @DataProvider
    public Object[][] wrongSettings() {
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

    @Test(dataProvider = "wrongSettings")
    public void namesTheFlagOfAWrongSetting(String name, String value, String flag) {
        Map<String, String> environment = goodEnvironment();
        environment.put("FILBERTRUDDER_" + name, value);

        Outcome outcome = run(environment, "check-settings");

        assertEquals(outcome.code(), ExitCode.USAGE);
        assertTrue(outcome.text().contains(flag + " "), outcome.text());
    }

    @Test
    public void showsNoSecretInItsMessages() {
        Map<String, String> environment = goodEnvironment();
        environment.put("FILBERTRUDDER_OPERATORS", "anna:nobody:hushhush");

        assertTrue(!run(environment, "check-settings").text().contains("hushhush"));
    }

    @Test
    public void anUnknownCommandIsAUsageError() {
        assertEquals(run(Map.of(), "dance").code(), ExitCode.USAGE);
    }

    @Test
    public void helpAndVersionSucceed() {
        assertEquals(run(Map.of(), "--help").code(), ExitCode.OK);
        assertEquals(run(Map.of(), "--version").code(), ExitCode.OK);
    }

    @Test
    public void anOperatorCommandWithoutAddressIsAUsageError() {
        Outcome outcome = run(Map.of(), "inventory", "get");

        assertEquals(outcome.code(), ExitCode.USAGE);
        assertTrue(outcome.text().contains("--admin"), outcome.text());
    }

    private record Outcome(int code, String text) {}
}
