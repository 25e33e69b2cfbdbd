package org.filbertrudder.scenarios;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Controls one process of a fleet, which prints its ports on the first line of its output. */
public final class ManagedProcess {

    private static final long START_TIMEOUT_SECONDS = 60;
    private static final List<String> JAVA_OPTIONS =
            List.of("-Xmx160m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    private final Process mProcess;
    private final Map<String, String> mPortsByName;

    private ManagedProcess(Process process, Map<String, String> ports) {
        mProcess = process;
        mPortsByName = ports;
    }

    /** Starts a jar and waits until it prints that it is listening. */
    public static ManagedProcess start(Path jar, Path logFile, List<String> arguments) {
        Process process = launch(jar, logFile, arguments);
        return new ManagedProcess(process, readPorts(process));
    }

    /** Runs a jar until it exits and returns its standard output. */
    public static String run(Path jar, Path logFile, List<String> arguments) {
        Process process = launch(jar, logFile, arguments);
        try {
            return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Process launch(Path jar, Path logFile, List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JAVA_OPTIONS);
        command.add("-jar");
        command.add(jar.toString());
        command.addAll(arguments);
        try {
            return new ProcessBuilder(command)
                    .redirectError(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
                    .start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Map<String, String> readPorts(Process process) {
        BufferedReader output =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        String line =
                CompletableFuture.supplyAsync(() -> readLine(output))
                        .orTimeout(START_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .join();
        if (line == null || !line.startsWith("listening ")) {
            process.destroyForcibly();
            throw new IllegalStateException(
                    "The first output line must start with \"listening \", but was: " + line);
        }
        Map<String, String> ports = new HashMap<>();
        for (String assignment : line.substring("listening ".length()).split(" ")) {
            int equals = assignment.indexOf('=');
            ports.put(assignment.substring(0, equals), assignment.substring(equals + 1));
        }
        return ports;
    }

    private static String readLine(BufferedReader reader) {
        try {
            return reader.readLine();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns a port by its name on the first output line. */
    public int port(String name) {
        return Integer.parseInt(mPortsByName.get(name));
    }

    /** Returns a list of ports by its name on the first output line. */
    public List<Integer> ports(String name) {
        List<Integer> ports = new ArrayList<>();
        for (String port : mPortsByName.get(name).split(",")) {
            if (!port.isBlank()) {
                ports.add(Integer.parseInt(port));
            }
        }
        return ports;
    }

    /** Returns the process id. */
    public long pid() {
        return mProcess.pid();
    }

    /** Returns whether the process is running. */
    public boolean isRunning() {
        return mProcess.isAlive();
    }

    /** Returns the CPU time used so far, in milliseconds. */
    public long cpuTimeMs() {
        return mProcess.toHandle()
                .info()
                .totalCpuDuration()
                .map(duration -> duration.toMillis())
                .orElseThrow();
    }

    /** Returns the resident set size in megabytes. */
    public double residentMb() {
        try {
            Path status = Path.of("/proc", Long.toString(pid()), "status");
            return Files.readString(status, StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> line.startsWith("VmRSS:"))
                    .mapToDouble(line -> Double.parseDouble(line.replaceAll("\\D", "")) / 1e3)
                    .findFirst()
                    .orElseThrow();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Kills the process and waits for its exit. */
    public void kill() {
        mProcess.destroyForcibly();
        awaitExit(10_000);
    }

    /** Sends SIGTERM, which starts a graceful shutdown. */
    public void terminate() {
        mProcess.destroy();
    }

    /** Sends a signal to the process by name, such as STOP or CONT. */
    public void sendSignal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(pid())).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for the exit; returns the exit code, or -1 if the process is still running. */
    public int awaitExit(long timeoutMs) {
        try {
            boolean exited = mProcess.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
            return exited ? mProcess.exitValue() : -1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }
}
