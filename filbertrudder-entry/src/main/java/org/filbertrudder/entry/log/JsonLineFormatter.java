package org.filbertrudder.entry.log;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats a log record as one line of JSON. */
final class JsonLineFormatter extends Formatter {

    private static final JsonStringEncoder ENCODER = JsonStringEncoder.getInstance();

    @Override
    public String format(LogRecord record) {
        StringBuilder line = new StringBuilder();
        line.append("{\"time\":\"").append(record.getInstant()).append('"');
        append(line, "level", record.getLevel().getName());
        append(line, "message", record.getMessage());
        Object[] parameters = record.getParameters();
        for (int i = 0; parameters != null && i < parameters.length; i++) {
            if (parameters[i] instanceof LogField field) {
                append(line, field.name(), String.valueOf(field.value()));
            }
        }
        if (record.getThrown() != null) {
            append(line, "error", record.getThrown().toString());
        }
        return line.append("}\n").toString();
    }

    private static void append(StringBuilder line, String name, String value) {
        line.append(",\"").append(name).append("\":");
        if (value == null) {
            line.append("null");
            return;
        }
        line.append('"');
        ENCODER.quoteAsString(value, line);
        line.append('"');
    }
}
