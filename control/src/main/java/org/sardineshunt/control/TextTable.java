package org.sardineshunt.control;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Lines up rows of text in columns. */
final class TextTable {
    private static final String COLUMN_SEPARATOR = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    TextTable(String... headings) {
        rows.add(List.of(headings));
    }

    TextTable addRow(Object... cells) {
        rows.add(java.util.Arrays.stream(cells).map(String::valueOf).toList());
        return this;
    }

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
