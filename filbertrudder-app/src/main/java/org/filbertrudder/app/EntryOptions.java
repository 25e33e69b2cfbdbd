package org.filbertrudder.app;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.logging.Level;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.filbertrudder.entry.EntrySettings;
import org.filbertrudder.entry.OperatorCredential;
import org.filbertrudder.entry.TlsCertificate;
import org.filbertrudder.entry.log.LogSetup;
import org.filbertrudder.model.FailureDomainId;
import org.filbertrudder.model.InstanceId;
import org.filbertrudder.model.OperatorRole;
import org.filbertrudder.model.RegionId;
import org.filbertrudder.peer.PeerSecurity;
import org.filbertrudder.policy.membership.PeerAddress;

/** Reads and validates the settings of an entry instance; reports all problems at once. */
final class EntryOptions {

    private static final int MAX_PORT = 65_535;
    private static final String LOOPBACK_PREFIX = "127.";

    private final Namespace mArguments;
    private final Map<String, String> mEnvironment;
    private final List<String> mProblems = new ArrayList<>();

    private EntryOptions(Namespace arguments, Map<String, String> environment) {
        mArguments = arguments;
        mEnvironment = environment;
    }

    static void addTo(ArgumentParser parser) {
        for (EntryOption option : EntryOption.values()) {
            parser.addArgument(option.flag())
                    .dest(option.name())
                    .metavar("VALUE")
                    .help(option.help().replace("%", "%%"));
        }
    }

    /** Returns the settings, or all problems that were found. */
    static Result read(Namespace arguments, Map<String, String> environment) {
        EntryOptions options = new EntryOptions(arguments, environment);
        EntrySettings settings = options.settings();
        LogSetup.Format format = options.logFormat();
        Level level = options.logLevel();
        return new Result(
                options.mProblems.isEmpty() ? settings : null,
                level,
                format,
                List.copyOf(options.mProblems));
    }

    private EntrySettings settings() {
        String host = required(EntryOption.HOST);
        List<PeerAddress> seeds = new ArrayList<>();
        for (String seed : text(EntryOption.SEEDS).split(",")) {
            if (!seed.isBlank()) {
                seeds.add(parse(EntryOption.SEEDS, seed.trim(), PeerAddress::parse));
            }
        }
        return new EntrySettings(
                parse(EntryOption.ID, InstanceId::of),
                parse(EntryOption.REGION, RegionId::of),
                parse(EntryOption.FAILURE_DOMAIN, FailureDomainId::of),
                host,
                port(EntryOption.CALLER_PORT),
                port(EntryOption.ADMIN_PORT),
                port(EntryOption.PEER_PORT),
                port(EntryOption.FORWARD_PORT),
                parse(EntryOption.STORE, PeerAddress::parse),
                parse(EntryOption.PLATFORM, PeerAddress::parse),
                seeds,
                operators(),
                peerSecurity(host),
                callerTls(host),
                integer(EntryOption.MAX_BODY_BYTES, 1, Integer.MAX_VALUE),
                integer(EntryOption.TRAFFIC_THREADS, 1, 64),
                integer(EntryOption.DRAIN_TIMEOUT_MS, 0, Integer.MAX_VALUE));
    }

    private String text(EntryOption option) {
        String value = option.value(mArguments, mEnvironment);
        return value == null ? "" : value;
    }

    private String required(EntryOption option) {
        String value = text(option);
        if (value.isBlank()) {
            addProblem(option, "is required. Set it.");
        }
        return value;
    }

    private <T> T parse(EntryOption option, Function<String, T> parser) {
        String value = required(option);
        return value.isBlank() ? null : parse(option, value, parser);
    }

    private <T> T parse(EntryOption option, String value, Function<String, T> parser) {
        try {
            return parser.apply(value);
        } catch (IllegalArgumentException e) {
            addProblem(option, e.getMessage());
            return null;
        }
    }

    private int port(EntryOption option) {
        return integer(option, 0, MAX_PORT);
    }

    private int integer(EntryOption option, int min, int max) {
        try {
            int value = Integer.parseInt(text(option).trim());
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below together with the allowed range.
        }
        addProblem(option, "is not a whole number from " + min + " to " + max + ". Correct it.");
        return min;
    }

    private List<OperatorCredential> operators() {
        List<OperatorCredential> operators = new ArrayList<>();
        for (String entry : required(EntryOption.OPERATORS).split(",")) {
            String[] fields = entry.split(":", 3);
            boolean valid =
                    fields.length == 3
                            && (fields[1].equals("read") || fields[1].equals("operate"))
                            && !fields[2].isBlank();
            if (valid) {
                OperatorRole role = OperatorRole.valueOf(fields[1].toUpperCase(Locale.ROOT));
                operators.add(OperatorCredential.of(fields[0], role, fields[2]));
            } else if (!entry.isBlank()) {
                addProblem(
                        EntryOption.OPERATORS,
                        "has an entry that is not name:role:token with the role 'read' or"
                                + " 'operate'. Correct the entry.");
            }
        }
        return operators;
    }

    private PeerSecurity peerSecurity(String host) {
        String certificate = readPem(EntryOption.PEER_CERTIFICATE);
        String key = readPem(EntryOption.PEER_KEY);
        String authority = readPem(EntryOption.PEER_AUTHORITY);
        boolean allSet = !certificate.isEmpty() && !key.isEmpty() && !authority.isEmpty();
        boolean noneSet = certificate.isEmpty() && key.isEmpty() && authority.isEmpty();
        if (allSet) {
            return PeerSecurity.mutualTls(certificate, key, authority);
        }
        if (!noneSet) {
            addProblem(
                    EntryOption.PEER_CERTIFICATE,
                    "must be set together with the peer key and authority. Set all three or none.");
        } else if (!host.startsWith(LOOPBACK_PREFIX)) {
            addProblem(
                    EntryOption.PEER_CERTIFICATE,
                    "is required: instances must connect with TLS unless the host is 127.*.");
        }
        return PeerSecurity.plainText();
    }

    private TlsCertificate callerTls(String host) {
        String certificate = readPem(EntryOption.CALLER_CERTIFICATE);
        String key = readPem(EntryOption.CALLER_KEY);
        if (!certificate.isEmpty() && !key.isEmpty()) {
            return new TlsCertificate(certificate, key);
        }
        if (certificate.isEmpty() != key.isEmpty()) {
            addProblem(
                    EntryOption.CALLER_KEY,
                    "must be set together with the caller certificate. Set both or none.");
        }
        boolean plainAllowed = text(EntryOption.PLAIN_HTTP).equals("true");
        if (!plainAllowed && !host.startsWith(LOOPBACK_PREFIX)) {
            addProblem(
                    EntryOption.CALLER_CERTIFICATE,
                    "is required unless the host is 127.*. Set it, or allow plain HTTP with "
                            + EntryOption.PLAIN_HTTP.flag()
                            + " true.");
        }
        return null;
    }

    private String readPem(EntryOption option) {
        String value = text(option).trim();
        if (value.isEmpty() || value.startsWith("-----BEGIN")) {
            return value;
        }
        try {
            return Buffer.buffer(Files.readAllBytes(Path.of(value))).toString();
        } catch (IOException e) {
            addProblem(
                    option, "is not a readable file. Set the path of a PEM file, or the PEM text.");
            return "";
        }
    }

    private Level logLevel() {
        return switch (text(EntryOption.LOG_LEVEL)) {
            case "debug" -> Level.FINE;
            case "info" -> Level.INFO;
            case "warning" -> Level.WARNING;
            default -> {
                addProblem(
                        EntryOption.LOG_LEVEL, "is not a log level. Use debug, info or warning.");
                yield Level.INFO;
            }
        };
    }

    private LogSetup.Format logFormat() {
        return switch (text(EntryOption.LOG_FORMAT)) {
            case "text" -> LogSetup.Format.TEXT;
            case "json" -> LogSetup.Format.JSON;
            default -> {
                addProblem(EntryOption.LOG_FORMAT, "is not a log format. Use text or json.");
                yield LogSetup.Format.TEXT;
            }
        };
    }

    private void addProblem(EntryOption option, String message) {
        mProblems.add(option.flag() + " (" + option.variable() + "): " + message);
    }

    /**
     * Holds the settings, or the problems that were found.
     *
     * @param settings the settings; null if there are problems
     * @param logLevel the log level
     * @param logFormat the log format
     * @param problems all problems, each with the setting and what to correct
     */
    record Result(
            EntrySettings settings,
            Level logLevel,
            LogSetup.Format logFormat,
            List<String> problems) {}
}
