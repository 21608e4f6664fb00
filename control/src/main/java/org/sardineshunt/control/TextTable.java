package org.sardineshunt.control;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** A table that is rendered as text with aligned columns. Not thread-safe. */
final class TextTable {
    private static final String COLUMN_SEPARATOR = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    /** Creates a table with one column for each heading. */
    TextTable(String... headings) {
        rows.add(List.of(headings));
    }

    /** Adds a row; its cells are as many as the headings. */
    TextTable addRow(Object... cells) {
        rows.add(java.util.Arrays.stream(cells).map(String::valueOf).toList());
        return this;
    }

    /** Returns the headings and rows as lines, without a line break at the end. */
    String render() {
        int[] widths = IntStream.range(0, rows.get(0).size())
                .map(column -> rows.stream()
                        .mapToInt(row -> row.get(column).length())
                        .max()
                        .orElse(0))
                .toArray();
        return rows.stream().map(row -> formatRow(row, widths)).collect(Collectors.joining("\n"));
    }

    private static String formatRow(List<String> row, int[] widths) {
        return IntStream.range(0, row.size())
                .mapToObj(column -> String.format("%-" + Math.max(1, widths[column]) + "s", row.get(column)))
                .collect(Collectors.joining(COLUMN_SEPARATOR))
                .stripTrailing();
    }
}
