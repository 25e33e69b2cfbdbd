package org.filbertrudder.app;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.filbertrudder.model.Json;

/** Tells from the logs of all instances what became of a request. */
final class ExplainCommand {

    /** How far before the request's end a change of an instance's beliefs is shown. */
    private static final Duration CONTEXT = Duration.ofSeconds(15);

    /** The most lines of context that are shown, the last ones first. */
    private static final int MAX_CONTEXT_LINES = 40;

    private ExplainCommand() {}

    static void addTo(Subparsers commands) {
        Subparser explain =
                commands.addParser("explain")
                        .help("tell what became of a request, from logs on standard input")
                        .description(
                                "Reads log lines of any number of instances from standard input."
                                        + " Text before a line's JSON, such as the instance's"
                                        + " name, is kept.");
        explain.addArgument("id").help("the request's id");
        explain.setDefault("run", (Command) ExplainCommand::run);
    }

    private static int run(Namespace arguments, Map<String, String> environment) {
        String id = arguments.getString("id");
        try {
            List<Line> lines = read(new InputStreamReader(System.in, StandardCharsets.UTF_8));
            List<Line> own = lines.stream().filter(line -> line.text("id").equals(id)).toList();
            if (own.isEmpty()) {
                System.err.println(
                        "None of "
                                + lines.size()
                                + " log lines names request "
                                + id
                                + ". Give the logs of all instances around its time.");
                return ExitCode.FAILED;
            }
            own.forEach(ExplainCommand::printOwn);
            printContext(lines, own);
            return ExitCode.OK;
        } catch (IOException e) {
            System.err.println("The logs could not be read: " + e.getMessage());
            return ExitCode.FAILED;
        }
    }

    /** Returns the log lines in the order of time; other text is passed over. */
    private static List<Line> read(Reader source) throws IOException {
        List<Line> lines = new ArrayList<>();
        try (BufferedReader reader = new BufferedReader(source)) {
            for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                Line.parse(text).ifPresent(lines::add);
            }
        }
        lines.sort(Comparator.comparing(Line::at));
        return lines;
    }

    private static void printOwn(Line line) {
        System.out.println(line.source() + " " + line.at() + " " + line.text("message"));
        line.fields()
                .fields()
                .forEachRemaining(
                        field -> {
                            if (!isHeading(field.getKey())) {
                                System.out.println(
                                        "  " + field.getKey() + ": " + field.getValue().asText());
                            }
                        });
    }

    private static boolean isHeading(String field) {
        return field.equals("time") || field.equals("message") || field.equals("level");
    }

    /** Prints what the instances on the request's way came to believe before its end. */
    private static void printContext(List<Line> lines, List<Line> own) {
        TreeSet<String> sources = new TreeSet<>();
        StringBuilder steps = new StringBuilder();
        for (Line line : own) {
            sources.add(line.source());
            steps.append(' ').append(line.text("steps"));
        }
        Instant end = own.get(own.size() - 1).at();
        List<Line> context =
                lines.stream()
                        .filter(line -> line.text("id").isEmpty())
                        .filter(line -> sources.contains(line.source()))
                        .filter(line -> line.text("uri").isEmpty())
                        .filter(line -> !line.at().isAfter(end))
                        .filter(line -> !line.at().isBefore(end.minus(CONTEXT)))
                        .filter(line -> concerns(line, steps.toString()))
                        .toList();
        if (!context.isEmpty()) {
            System.out.println("Before its end, on the same instances:");
        }
        context.subList(Math.max(0, context.size() - MAX_CONTEXT_LINES), context.size())
                .forEach(line -> System.out.println("  " + line.raw()));
    }

    /** Returns whether the line is about an endpoint of the request, or about none. */
    private static boolean concerns(Line line, String steps) {
        String endpoint = line.text("endpoint");
        return endpoint.isEmpty() || steps.contains(endpoint);
    }

    /**
     * Holds a log line.
     *
     * @param source what stood before the JSON, such as the instance's name
     * @param at when it was written
     * @param fields its fields
     * @param raw the whole line
     */
    private record Line(String source, Instant at, JsonNode fields, String raw) {

        static Optional<Line> parse(String text) {
            int start = text.indexOf('{');
            if (start < 0) {
                return Optional.empty();
            }
            try {
                JsonNode fields = Json.MAPPER.readTree(text.substring(start));
                Instant at = Instant.parse(fields.path("time").asText());
                String[] before = text.substring(0, start).trim().split("\\s+");
                return Optional.of(new Line(before[before.length - 1], at, fields, text));
            } catch (IOException | DateTimeParseException e) {
                // Other text may stand between log lines, such as the output of a launcher.
                return Optional.empty();
            }
        }

        String text(String field) {
            return fields.path(field).asText("");
        }
    }
}
