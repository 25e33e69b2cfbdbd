package org.filbertrudder.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Holds the results of an experiment in rows and columns. */
final class Table {

    private final List<String> mColumns;
    private final List<List<String>> mRows = new ArrayList<>();

    Table(String... columns) {
        mColumns = List.of(columns);
    }

    /** Adds a row; floating-point values below 100 get three decimals, others none. */
    void add(Object... values) {
        if (values.length != mColumns.size()) {
            throw new IllegalArgumentException("A row must have " + mColumns.size() + " values.");
        }
        List<String> row = new ArrayList<>();
        for (Object value : values) {
            row.add(format(value));
        }
        mRows.add(row);
    }

    private static String format(Object value) {
        if (value instanceof Double number) {
            return Math.abs(number) >= 100
                    ? String.format(Locale.ROOT, "%.0f", number)
                    : String.format(Locale.ROOT, "%.3f", number);
        }
        return String.valueOf(value);
    }

    /** Returns the table as Markdown. */
    String toMarkdown() {
        StringBuilder text = new StringBuilder();
        text.append("| ").append(String.join(" | ", mColumns)).append(" |\n|");
        mColumns.forEach(column -> text.append(" --- |"));
        text.append('\n');
        for (List<String> row : mRows) {
            text.append("| ").append(String.join(" | ", row)).append(" |\n");
        }
        return text.toString();
    }

    /** Returns the table as comma-separated values. */
    String toCsv() {
        StringBuilder text = new StringBuilder(String.join(",", mColumns)).append('\n');
        mRows.forEach(row -> text.append(String.join(",", row)).append('\n'));
        return text.toString();
    }

    List<String> columns() {
        return mColumns;
    }

    List<List<String>> rows() {
        return mRows;
    }
}
