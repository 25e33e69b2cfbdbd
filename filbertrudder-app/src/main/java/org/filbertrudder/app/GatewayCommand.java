package org.filbertrudder.app;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.logging.Level;
import net.sourceforge.argparse4j.inf.Namespace;
import org.filbertrudder.entry.log.LogSetup;
import org.filbertrudder.gateway.BoundSettings;
import org.filbertrudder.gateway.Gateway;
import org.filbertrudder.gateway.GatewaySettings;
import org.filbertrudder.gateway.config.ConfigurationCheck;
import org.filbertrudder.gateway.config.GatewayConfiguration;
import org.filbertrudder.gateway.control.Clocks;
import org.filbertrudder.model.InvalidValueException;
import org.filbertrudder.platform.ConfigurationFile;
import org.filbertrudder.platform.PlatformProtocol;
import org.filbertrudder.platform.PlatformStateSource;
import org.filbertrudder.platform.SettingsFile;

/** Runs a gateway instance on the users' platform, or checks its settings or configuration. */
final class GatewayCommand {

    private static final int MACHINE_ID_BYTES = 8;
    private static final long CLOSE_TIMEOUT_MS = 200;

    private GatewayCommand() {}

    static int run(Map<String, String> environment) {
        Optional<GatewaySettings> settings = settings(environment);
        if (settings.isEmpty()) {
            return ExitCode.USAGE;
        }
        LogSetup.applyNonBlocking(Level.INFO);
        CompletableFuture<Gateway> started = new CompletableFuture<>();
        AtomicReference<GatewaySettings> newest = new AtomicReference<>(settings.get());
        // Settings that change during the start apply after it.
        new SettingsReloader(
                        Path.of(environment.get(SettingsFile.PATH_VARIABLE)),
                        settings.get(),
                        changed -> {
                            newest.set(changed);
                            started.thenAccept(gateway -> gateway.reload(newest.get()));
                        })
                .start();
        // A signal during the start must not end the process, which may accept requests already.
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(() -> shutDown(started, newest.get().bounds()), "shutdown"));
        try {
            setNettyMachineId(settings.get());
            Gateway gateway =
                    Gateway.start(
                                    settings.get(),
                                    vertx -> new PlatformStateSource(vertx, settings.get()),
                                    new PlatformProtocol())
                            .join();
            started.complete(gateway);
            gateway.stopped().join();
            return ExitCode.OK;
        } catch (CompletionException e) {
            System.err.println("The instance cannot start: " + e.getCause());
            return ExitCode.FAILED;
        } finally {
            started.completeExceptionally(new IllegalStateException("The start has failed."));
        }
    }

    /**
     * Sets the machine id of Netty; without this, Netty searches for a hardware address, which
     * makes the start slower.
     */
    private static void setNettyMachineId(GatewaySettings settings) {
        byte[] id = Arrays.copyOf(settings.id().value().getBytes(UTF_8), MACHINE_ID_BYTES);
        System.setProperty("io.netty.machineId", HexFormat.ofDelimiter(":").formatHex(id));
    }

    private static void shutDown(CompletableFuture<Gateway> started, BoundSettings bounds) {
        if (started.isCompletedExceptionally()) {
            return;
        }
        long signalMs = Clocks.steadyMs();
        StopDeadline.await(
                started.thenCompose(
                        gateway -> gateway.shutDown(signalMs).thenCompose(done -> close(gateway))),
                bounds.graceMs());
        Runtime.getRuntime().halt(ExitCode.OK);
    }

    /** Closes all sockets, which would stay open without a reader while the JVM halts. */
    private static CompletableFuture<Void> close(Gateway gateway) {
        return gateway.close().completeOnTimeout(null, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    static int check(Namespace arguments, Map<String, String> environment) {
        if (settings(environment).isEmpty()) {
            return ExitCode.USAGE;
        }
        System.out.println("The settings file is valid.");
        return ExitCode.OK;
    }

    static int checkConfiguration(Namespace arguments, Map<String, String> environment) {
        String file = arguments.getString("file");
        try {
            GatewayConfiguration configuration = ConfigurationFile.read(Path.of(file));
            List<String> problems = ConfigurationCheck.problems(configuration);
            problems.forEach(System.err::println);
            if (!problems.isEmpty()) {
                return ExitCode.USAGE;
            }
            System.out.println(
                    "Version "
                            + configuration.version()
                            + " is valid: "
                            + configuration.routeCount()
                            + " routes, "
                            + configuration.accounts().size()
                            + " client accounts.");
            return ExitCode.OK;
        } catch (IOException e) {
            System.err.println(file + " cannot be read: " + e.getMessage());
        } catch (InvalidValueException e) {
            System.err.println(file + ": " + e.getMessage());
        }
        return ExitCode.USAGE;
    }

    private static Optional<GatewaySettings> settings(Map<String, String> environment) {
        String path = environment.get(SettingsFile.PATH_VARIABLE);
        if (path == null) {
            System.err.println(
                    "Set " + SettingsFile.PATH_VARIABLE + " to the path of the settings file.");
            return Optional.empty();
        }
        SettingsFile.Result result = SettingsFile.read(Path.of(path));
        result.problems().forEach(System.err::println);
        return result.settings();
    }
}
