package org.filbertrudder.entry.log;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import org.filbertrudder.model.Json;

/** Formats a log record as one line of JSON. */
final class JsonLineFormatter extends Formatter {

    @Override
    public String format(LogRecord record) {
        ObjectNode line = Json.MAPPER.createObjectNode();
        line.put("time", record.getInstant().toString());
        line.put("level", record.getLevel().getName());
        line.put("message", record.getMessage());
        Object[] parameters = record.getParameters();
        for (int i = 0; parameters != null && i < parameters.length; i++) {
            if (parameters[i] instanceof LogField field) {
                line.put(field.name(), String.valueOf(field.value()));
            }
        }
        if (record.getThrown() != null) {
            line.put("error", record.getThrown().toString());
        }
        return line + "\n";
    }
}
