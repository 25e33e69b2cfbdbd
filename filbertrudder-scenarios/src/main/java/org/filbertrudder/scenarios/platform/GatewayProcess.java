package org.filbertrudder.scenarios.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.filbertrudder.policy.membership.PeerAddress;
import org.filbertrudder.scenarios.Fleet;

/** Runs a gateway instance as a process of its own, on a loopback address of its own. */
public final class GatewayProcess implements AutoCloseable {

    private static final List<String> JAVA_OPTIONS =
            List.of("-Xmx96m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    private static final int CALLER_PORT = 8501;
    private static final int READINESS_PORT = 8503;
    private static final int DIRECTORY_PORT = 8506;
    private static final int PEER_PORT = 8509;
    private static final int METRICS_PORT = 9464;
    private static final int FIRST_INNER_PORT = 8520;
    private static final int LAST_INNER_PORT = 8530;

    /** The time in seconds after which a stopping instance may be killed. */
    public static final int GRACE_SECONDS = 4;

    private static final long EXIT_TIMEOUT_MS = 20_000;

    private final String mId;
    private final String mHost;
    private final String mPeerHost;
    private final Path mSettingsFile;
    private final Path mLogFile;
    private Process mProcess;

    /**
     * Prepares an instance without starting it.
     *
     * @param id the id of the instance
     * @param host its loopback address
     * @param region its region, with one failure domain
     * @param seedHosts the loopback addresses of other instances
     * @param storePort the port of the store on 127.0.0.1
     * @param directory where its settings and logs are written
     */
    public GatewayProcess(
            String id,
            String host,
            String region,
            List<String> seedHosts,
            int storePort,
            Path directory) {
        this(id, host, host, region, List.of(region), seedHosts, storePort, directory);
    }

    /**
     * Prepares an instance like the other constructor, one of several regions.
     *
     * @param peerHost the loopback address that other instances connect to; something else may
     *     accept the connections for forwarded requests there and pass them on to the host
     * @param regions all regions
     */
    public GatewayProcess(
            String id,
            String host,
            String peerHost,
            String region,
            List<String> regions,
            List<String> seedHosts,
            int storePort,
            Path directory) {
        mId = id;
        mHost = host;
        mPeerHost = peerHost;
        mSettingsFile = directory.resolve(id + ".toml");
        mLogFile = directory.resolve(id + ".log");
        try {
            Files.writeString(mSettingsFile, settings(region, regions, seedHosts, storePort));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private String settings(
            String region, List<String> regions, List<String> seedHosts, int storePort) {
        String zones =
                regions.stream()
                        .map(each -> "%s-a = \"%s\"".formatted(each, each))
                        .collect(Collectors.joining("\n"));
        List<String> seeds =
                seedHosts.stream().map(host -> "\"" + host + ":" + PEER_PORT + "\"").toList();
        return """
        nodeName = "%s"
        zone = "%s-a"
        portRange = [%d,%d]
        seeds = %s
        [zones]
        %s
        [listen]
        front = "%s"
        ready = "%s"
        control = "%s"
        directory = "%s"
        [bounds]
        graceS = %d
        revokeMs = 5000
        retryRatio = 0.2
        retryExtra = 52
        [infra]
        addr = "127.0.0.1:%d"
        """
                .formatted(
                        mId,
                        region,
                        FIRST_INNER_PORT,
                        LAST_INNER_PORT,
                        seeds,
                        zones,
                        address(CALLER_PORT),
                        address(READINESS_PORT),
                        new PeerAddress(mPeerHost, PEER_PORT),
                        address(DIRECTORY_PORT),
                        GRACE_SECONDS,
                        storePort);
    }

    private PeerAddress address(int port) {
        return new PeerAddress(mHost, port);
    }

    /** Returns the id of the instance. */
    public String id() {
        return mId;
    }

    /**
     * Adds to the settings that replicas cut off unread responses, so all prompts are scheduled.
     */
    public void setLimitsUnreadBytes() {
        try {
            String settings = Files.readString(mSettingsFile);
            Files.writeString(mSettingsFile, "contracts = [\"pressure\"]\n" + settings);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Starts the process with options of the JVM beside the usual ones. */
    public void start(List<String> javaOptions) {
        start(Fleet.jar("app", Fleet.PRODUCT_JAR).toString(), javaOptions);
    }

    /** Starts the process; its output goes to the log file. */
    public void start() {
        start(ProcessBuilder.Redirect.appendTo(mLogFile.toFile()));
    }

    /** Starts the process with its output in a pipe that nobody reads. */
    public void startWithUnreadOutput() {
        start(ProcessBuilder.Redirect.PIPE);
    }

    /**
     * Starts the process from a jar other than the packaged one; its output goes to the log file.
     *
     * @param jar the path of the jar as it is passed to the JVM
     * @param javaOptions options of the JVM beside the usual ones
     */
    public void start(String jar, List<String> javaOptions) {
        start(jar, javaOptions, ProcessBuilder.Redirect.appendTo(mLogFile.toFile()));
    }

    private void start(ProcessBuilder.Redirect output) {
        start(Fleet.jar("app", Fleet.PRODUCT_JAR).toString(), List.of(), output);
    }

    private void start(String jar, List<String> javaOptions, ProcessBuilder.Redirect output) {
        ProcessBuilder builder =
                new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin/java").toString());
        builder.command().addAll(JAVA_OPTIONS);
        builder.command().addAll(javaOptions);
        builder.command().addAll(List.of("-jar", jar, "gateway"));
        builder.environment().put("FILBERTRUDDER_NODE_FILE", mSettingsFile.toString());
        builder.redirectErrorStream(true).redirectOutput(output);
        try {
            mProcess = builder.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns whether the instance reports that it is ready. */
    public boolean isReady() {
        return new PlatformClient(address(READINESS_PORT)).get("/readyz").status() == 200;
    }

    /** Returns the address of the caller port of the instance. */
    public PeerAddress callerAddress() {
        return address(CALLER_PORT);
    }

    /** Returns the address at which the instance lists the instances for callers. */
    public PeerAddress directoryAddress() {
        return address(DIRECTORY_PORT);
    }

    /** Returns the address of the readiness checks of the instance. */
    public PeerAddress readinessAddress() {
        return address(READINESS_PORT);
    }

    /** Returns the process id. */
    public long pid() {
        return mProcess.pid();
    }

    /** Returns whether the process runs. */
    public boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Returns the address at which the instance listens for forwarded requests. */
    public PeerAddress forwardAddress() {
        return address(FIRST_INNER_PORT);
    }

    /** Returns a client for the caller port of the instance. */
    public PlatformClient callerClient() {
        return new PlatformClient(address(CALLER_PORT));
    }

    /** Returns the sum of all metrics of a name; 0 if the instance has none or does not answer. */
    public long metric(String name) {
        return new PlatformClient(address(METRICS_PORT))
                .get("/metrics")
                .body()
                .lines()
                .filter(line -> line.startsWith("filbertrudder_" + name + "{"))
                .mapToLong(line -> Long.parseLong(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }

    /** Sends a signal to the process, for example {@code TERM}. */
    public void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Sends SIGTERM at once, without another process whose start would take time. */
    public void terminate() {
        mProcess.toHandle().destroy();
    }

    /** Waits until the process has ended. */
    public void awaitExit() {
        try {
            if (!mProcess.waitFor(EXIT_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException("The process of " + mId + " does not end.");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Waits until the process has ended, for a time; returns whether it has. */
    public boolean awaitExit(long timeoutMs) {
        try {
            return mProcess.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
            awaitExit();
        }
    }
}
