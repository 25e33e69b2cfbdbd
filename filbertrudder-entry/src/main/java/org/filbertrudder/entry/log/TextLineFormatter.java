package org.filbertrudder.entry.log;

import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats a log record as one line of text. */
final class TextLineFormatter extends Formatter {

    @Override
    public String format(LogRecord record) {
        StringBuilder line = new StringBuilder();
        line.append(record.getInstant()).append(' ').append(record.getLevel()).append(' ');
        line.append(record.getMessage());
        Object[] parameters = record.getParameters();
        for (int i = 0; parameters != null && i < parameters.length; i++) {
            if (parameters[i] instanceof LogField field) {
                line.append(' ').append(field.name()).append('=').append(field.value());
            }
        }
        if (record.getThrown() != null) {
            line.append(" error=").append(record.getThrown());
        }
        return line.append('\n').toString();
    }
}
