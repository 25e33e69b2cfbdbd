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

/** Prints the log lines of a request, and related lines of the instances that handled it. */
final class ExplainCommand {

    /** Time before the end of the request from which related log lines are printed. */
    private static final Duration MAX_AGE_BEFORE_END = Duration.ofSeconds(15);

    /** Maximum number of related log lines; the latest are printed. */
    private static final int MAX_RELATED_LINES = 40;

    private ExplainCommand() {}

    static void addTo(Subparsers commands) {
        Subparser explain =
                commands.addParser("explain")
                        .help("print the log lines of a request from logs on standard input")
                        .description(
                                "Reads JSON log lines of any number of instances from standard"
                                        + " input. The last word before the JSON of a line is"
                                        + " taken as the name of the instance.");
        explain.addArgument("id").help("id of the request");
        explain.setDefault("run", (Command) ExplainCommand::run);
    }

    private static int run(Namespace arguments, Map<String, String> environment) {
        String id = arguments.getString("id");
        try {
            List<LogLine> lines = read(new InputStreamReader(System.in, StandardCharsets.UTF_8));
            List<LogLine> requestLines =
                    lines.stream().filter(line -> line.text("id").equals(id)).toList();
            if (requestLines.isEmpty()) {
                System.err.println(
                        "None of "
                                + lines.size()
                                + " log lines has the request id "
                                + id
                                + ". Provide the logs of all instances around its time.");
                return ExitCode.FAILED;
            }
            requestLines.forEach(ExplainCommand::printRequestLine);
            printRelatedLines(lines, requestLines);
            return ExitCode.OK;
        } catch (IOException e) {
            System.err.println("The logs cannot be read: " + e.getMessage());
            return ExitCode.FAILED;
        }
    }

    /** Returns the log lines in chronological order; other text is ignored. */
    private static List<LogLine> read(Reader source) throws IOException {
        List<LogLine> lines = new ArrayList<>();
        try (BufferedReader reader = new BufferedReader(source)) {
            for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                LogLine.parse(text).ifPresent(lines::add);
            }
        }
        lines.sort(Comparator.comparing(LogLine::at));
        return lines;
    }

    private static void printRequestLine(LogLine line) {
        System.out.println(line.source() + " " + line.at() + " " + line.text("message"));
        line.fields()
                .fields()
                .forEachRemaining(
                        field -> {
                            if (!isHeaderField(field.getKey())) {
                                System.out.println(
                                        "  " + field.getKey() + ": " + field.getValue().asText());
                            }
                        });
    }

    private static boolean isHeaderField(String field) {
        return field.equals("time") || field.equals("message") || field.equals("level");
    }

    /**
     * Prints what the instances that handled the request logged about its endpoints, or about no
     * endpoint in particular, shortly before it ended.
     */
    private static void printRelatedLines(List<LogLine> lines, List<LogLine> requestLines) {
        TreeSet<String> sources = new TreeSet<>();
        StringBuilder steps = new StringBuilder();
        for (LogLine line : requestLines) {
            sources.add(line.source());
            steps.append(' ').append(line.text("steps"));
        }
        Instant end = requestLines.get(requestLines.size() - 1).at();
        List<LogLine> relatedLines =
                lines.stream()
                        .filter(line -> line.text("id").isEmpty())
                        .filter(line -> sources.contains(line.source()))
                        .filter(line -> line.text("uri").isEmpty())
                        .filter(line -> !line.at().isAfter(end))
                        .filter(line -> !line.at().isBefore(end.minus(MAX_AGE_BEFORE_END)))
                        .filter(line -> concernsRequest(line, steps.toString()))
                        .toList();
        if (!relatedLines.isEmpty()) {
            System.out.println(
                    "Related log lines of the same instances before the end of the request:");
        }
        relatedLines
                .subList(Math.max(0, relatedLines.size() - MAX_RELATED_LINES), relatedLines.size())
                .forEach(line -> System.out.println("  " + line.raw()));
    }

    /** Returns whether the line names an endpoint of the request, or no endpoint at all. */
    private static boolean concernsRequest(LogLine line, String steps) {
        String endpoint = line.text("endpoint");
        return endpoint.isEmpty() || steps.contains(endpoint);
    }

    /**
     * Holds a parsed log line.
     *
     * @param source the last word before the JSON, such as the name of the instance
     * @param at when the line was logged
     * @param fields the fields of its JSON
     * @param raw the whole line
     */
    private record LogLine(String source, Instant at, JsonNode fields, String raw) {

        static Optional<LogLine> parse(String text) {
            int start = text.indexOf('{');
            if (start < 0) {
                return Optional.empty();
            }
            try {
                JsonNode fields = Json.MAPPER.readTree(text.substring(start));
                Instant at = Instant.parse(fields.path("time").asText());
                String[] before = text.substring(0, start).trim().split("\\s+");
                return Optional.of(new LogLine(before[before.length - 1], at, fields, text));
            } catch (IOException | DateTimeParseException e) {
                // Logs may contain other text between the lines, such as the output of a launcher.
                return Optional.empty();
            }
        }

        String text(String field) {
            return fields.path(field).asText("");
        }
    }
}
