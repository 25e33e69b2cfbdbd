package org.filbertrudder.scenarios.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.Writer;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.scenarios.Fleet;
import org.filbertrudder.standins.platform.KvStoreStandIn;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the gateway as a process: its settings file, signals and exit codes. */
public class GatewayProcessTest {

    private static final long EXIT_TIMEOUT_MS = 20_000;
    private static final int EXIT_CODE_FAILED = 1;
    private static final int EXIT_CODE_INVALID_USAGE = 2;

    private Vertx mVertx;
    private int mStorePort;
    private Path mDirectory;
    private Process mProcess;

    @BeforeClass
    public void startStore() {
        mVertx = Vertx.vertx();
        KvStoreStandIn store = new KvStoreStandIn(mVertx, "127.0.0.1");
        mStorePort = store.start();
        store.put(
                "op/config",
                "{\"version\":1,\"routes\":[],\"services\":[],\"limits\":{},\"tenants\":[]}");
    }

    @AfterClass(alwaysRun = true)
    public void stopStore() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    @BeforeMethod
    public void createDirectory() throws IOException {
        mDirectory = Files.createTempDirectory("gateway");
    }

    @AfterMethod(alwaysRun = true)
    public void killProcess() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
        }
    }

    private String settingsFile(List<Integer> ports, int graceSeconds) {
        return """
        nodeName = "edge-1"
        zone = "mtl-a"
        portRange = [%d,%d]
        seeds = []
        [zones]
        mtl-a = "mtl"
        [listen]
        front = "127.0.0.1:%d"
        ready = "127.0.0.1:%d"
        control = "127.0.0.1:%d"
        directory = "127.0.0.1:%d"
        [bounds]
        graceS = %d
        revokeMs = 5000
        retryRatio = 0.2
        retryExtra = 52
        [infra]
        addr = "127.0.0.1:%d"
        """
                .formatted(
                        ports.get(0),
                        ports.get(0),
                        ports.get(1),
                        ports.get(2),
                        ports.get(3),
                        ports.get(4),
                        graceSeconds,
                        mStorePort);
    }

    private Path logFile() {
        return mDirectory.resolve("log");
    }

    private Path settingsFile() {
        return mDirectory.resolve("boot.toml");
    }

    private void start(String settings) throws IOException {
        Files.writeString(settingsFile(), settings);
        start();
    }

    private void start() throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx160m",
                        "-jar",
                        Fleet.jar("app", Fleet.PRODUCT_JAR).toString(),
                        "gateway");
        builder.environment().put("FILBERTRUDDER_NODE_FILE", settingsFile().toString());
        builder.redirectErrorStream(true).redirectOutput(logFile().toFile());
        mProcess = builder.start();
    }

    private boolean logContains(String text) {
        try {
            return Files.readString(logFile()).contains(text);
        } catch (IOException e) {
            return false;
        }
    }

    private int awaitExit() throws InterruptedException {
        boolean exited = mProcess.waitFor(EXIT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        return exited ? mProcess.exitValue() : -1;
    }

    private void sendSignal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
    }

    @Test
    public void reportsAllInvalidSettingsAndExits() throws IOException, InterruptedException {
        start("nodeName = 7");

        assertEquals(awaitExit(), EXIT_CODE_INVALID_USAGE);
        assertTrue(
                logContains("nodeName: ")
                        && logContains("listen.front: ")
                        && logContains("zones: "));
    }

    @Test
    public void reloadsSettingsOnSighupAndStopsOnSigterm()
            throws IOException, InterruptedException {
        List<Integer> ports = FreePorts.find(5);
        start(settingsFile(ports, 8));
        PlatformClient readiness = new PlatformClient(new PeerAddress("127.0.0.1", ports.get(2)));
        PlatformFleet.await(
                "the instance is ready", () -> readiness.get("/readyz").status() == 200);

        Files.writeString(settingsFile(), settingsFile(ports, 5));
        sendSignal("HUP");
        PlatformFleet.await("the new settings are logged", () -> logContains("graceMs=5000"));
        assertEquals(readiness.get("/readyz").status(), 200);

        sendSignal("TERM");
        PlatformFleet.await(
                "the instance is no longer ready", () -> readiness.get("/readyz").status() != 200);
        assertEquals(awaitExit(), 0);
        assertTrue(logContains("gateway: Stopped."));
    }

    /**
     * Guards against the end of a process that gets SIGHUP before it has read its settings. The
     * settings come from a pipe, so the process cannot read on until the signal was sent.
     */
    @Test
    public void sighupBeforeTheSettingsAreReadDoesNotEndAProcess()
            throws IOException, InterruptedException {
        List<Integer> ports = FreePorts.find(5);
        String pipe = settingsFile().toString();
        assertEquals(new ProcessBuilder("mkfifo", pipe).start().waitFor(), 0);
        start();
        try (Writer settings = Files.newBufferedWriter(settingsFile())) {
            Files.delete(settingsFile());
            Files.writeString(settingsFile(), settingsFile(ports, 5));
            sendSignal("HUP");
            settings.write(settingsFile(ports, 8));
        }

        PlatformFleet.await(
                "the changed settings are logged or the process has ended",
                () -> logContains("graceMs=5000") || !mProcess.isAlive());
        assertTrue(mProcess.isAlive(), "The process has ended.");
        mProcess.destroy();
        assertEquals(awaitExit(), 0);
    }

    @Test
    public void failedStartEndsAsAStop() throws Exception {
        List<Integer> ports = FreePorts.find(5);
        try (ServerSocket taken =
                new ServerSocket(ports.get(1), 1, InetAddress.getByName("127.0.0.1"))) {
            start(settingsFile(ports, 8));

            assertEquals(awaitExit(), EXIT_CODE_FAILED, taken.toString());
        }
        assertTrue(logContains("The instance cannot start: "));
    }

    @Test
    public void sigtermDuringTheStartCutsWhatWasAccepted() throws Exception {
        start(settingsFile(FreePorts.find(5), 8));
        PlatformFleet.await("the instance starts", () -> logContains("gateway: Starting."));

        mProcess.toHandle().destroy();

        assertEquals(awaitExit(), 0);
        assertTrue(logContains("gateway: Stopped."));
    }
}
