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

/** Reads and checks the settings of an entry instance; collects all problems. */
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

    /** Returns the settings, or all problems with their remedies. */
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
                number(EntryOption.MAX_BODY_BYTES, 1, Integer.MAX_VALUE),
                number(EntryOption.TRAFFIC_THREADS, 1, 64),
                number(EntryOption.DRAIN_TIMEOUT_MS, 0, Integer.MAX_VALUE));
    }

    private String text(EntryOption option) {
        String value = option.value(mArguments, mEnvironment);
        return value == null ? "" : value;
    }

    private String required(EntryOption option) {
        String value = text(option);
        if (value.isBlank()) {
            problem(option, "is missing. Set it.");
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
            problem(option, e.getMessage());
            return null;
        }
    }

    private int port(EntryOption option) {
        return number(option, 0, MAX_PORT);
    }

    private int number(EntryOption option, int least, int most) {
        try {
            int value = Integer.parseInt(text(option).trim());
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below with the range.
        }
        problem(option, "is not a whole number from " + least + " to " + most + ". Correct it.");
        return least;
    }

    private List<OperatorCredential> operators() {
        List<OperatorCredential> operators = new ArrayList<>();
        for (String text : required(EntryOption.OPERATORS).split(",")) {
            String[] parts = text.split(":", 3);
            boolean known =
                    parts.length == 3
                            && (parts[1].equals("read") || parts[1].equals("operate"))
                            && !parts[2].isBlank();
            if (known) {
                OperatorRole role = OperatorRole.valueOf(parts[1].toUpperCase(Locale.ROOT));
                operators.add(OperatorCredential.of(parts[0], role, parts[2]));
            } else if (!text.isBlank()) {
                problem(
                        EntryOption.OPERATORS,
                        "has an entry that is not name:role:token with the role 'read' or"
                                + " 'operate'. Correct it.");
            }
        }
        return operators;
    }

    private PeerSecurity peerSecurity(String host) {
        String certificate = pem(EntryOption.PEER_CERTIFICATE);
        String key = pem(EntryOption.PEER_KEY);
        String authority = pem(EntryOption.PEER_AUTHORITY);
        boolean all = !certificate.isEmpty() && !key.isEmpty() && !authority.isEmpty();
        boolean none = certificate.isEmpty() && key.isEmpty() && authority.isEmpty();
        if (all) {
            return PeerSecurity.mutualTls(certificate, key, authority);
        }
        if (!none) {
            problem(
                    EntryOption.PEER_CERTIFICATE,
                    "needs its key and authority too. Set all three or none.");
        } else if (!host.startsWith(LOOPBACK_PREFIX)) {
            problem(
                    EntryOption.PEER_CERTIFICATE,
                    "is missing. Off loopback, connections between instances must use TLS.");
        }
        return PeerSecurity.plain();
    }

    private TlsCertificate callerTls(String host) {
        String certificate = pem(EntryOption.CALLER_CERTIFICATE);
        String key = pem(EntryOption.CALLER_KEY);
        if (!certificate.isEmpty() && !key.isEmpty()) {
            return new TlsCertificate(certificate, key);
        }
        if (certificate.isEmpty() != key.isEmpty()) {
            problem(EntryOption.CALLER_KEY, "and the certificate go together. Set both or none.");
        }
        boolean plainAllowed = text(EntryOption.PLAIN_HTTP).equals("true");
        if (!plainAllowed && !host.startsWith(LOOPBACK_PREFIX)) {
            problem(
                    EntryOption.CALLER_CERTIFICATE,
                    "is missing. Set it, or allow plain HTTP with "
                            + EntryOption.PLAIN_HTTP.flag()
                            + " true.");
        }
        return null;
    }

    private String pem(EntryOption option) {
        String value = text(option).trim();
        if (value.isEmpty() || value.startsWith("-----BEGIN")) {
            return value;
        }
        try {
            return Buffer.buffer(Files.readAllBytes(Path.of(value))).toString();
        } catch (IOException e) {
            problem(option, "cannot be read. Give a path to a PEM file, or its text.");
            return "";
        }
    }

    private Level logLevel() {
        return switch (text(EntryOption.LOG_LEVEL)) {
            case "debug" -> Level.FINE;
            case "info" -> Level.INFO;
            case "warning" -> Level.WARNING;
            default -> {
                problem(EntryOption.LOG_LEVEL, "is unknown. Use debug, info or warning.");
                yield Level.INFO;
            }
        };
    }

    private LogSetup.Format logFormat() {
        return switch (text(EntryOption.LOG_FORMAT)) {
            case "text" -> LogSetup.Format.TEXT;
            case "json" -> LogSetup.Format.JSON;
            default -> {
                problem(EntryOption.LOG_FORMAT, "is unknown. Use text or json.");
                yield LogSetup.Format.TEXT;
            }
        };
    }

    private void problem(EntryOption option, String message) {
        mProblems.add(option.flag() + " (" + option.variable() + "): " + message);
    }

    /**
     * Holds the settings or the problems found.
     *
     * @param settings the settings; null if there are problems
     * @param logLevel the log level
     * @param logFormat the log format
     * @param problems all problems, each with its remedy
     */
    record Result(
            EntrySettings settings,
            Level logLevel,
            LogSetup.Format logFormat,
            List<String> problems) {}
}
