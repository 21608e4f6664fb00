package org.sardineshunt.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.stream.Collectors;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.sardineshunt.kit.Json;

/** Writes the results of an experiment as JSON, as a text table, and as an HTML page with a chart. */
final class ExperimentReport {
    private static final int CHART_WIDTH_PIXELS = 900;
    private static final int CHART_HEIGHT_PIXELS = 420;

    private ExperimentReport() {}

    /** Writes {@code report.json}, {@code report.txt} and {@code report.html}; creates the directory if needed. */
    static void write(Path directory, String name, List<Experiment.SystemResult> results) throws IOException {
        Files.createDirectories(directory);
        String table = results.stream().map(Experiment.SystemResult::table).collect(Collectors.joining("\n"));
        Files.writeString(directory.resolve("report.json"), Json.writePretty(results));
        Files.writeString(directory.resolve("report.txt"), table);
        Files.writeString(directory.resolve("report.html"), htmlPage(name, table, results));
    }

    private static String htmlPage(String name, String table, List<Experiment.SystemResult> results)
            throws IOException {
        byte[] png = BitmapEncoder.getBitmapBytes(chart(results), BitmapEncoder.BitmapFormat.PNG);
        return "<!doctype html><meta charset=\"utf-8\"><title>" + name + "</title><h1>" + name + "</h1>"
                + "<img alt=\"served in time\" src=\"data:image/png;base64,"
                + Base64.getEncoder().encodeToString(png) + "\"><pre>"
                + table.replace("&", "&amp;").replace("<", "&lt;") + "</pre>\n";
    }

    private static CategoryChart chart(List<Experiment.SystemResult> results) {
        CategoryChart chart = new CategoryChartBuilder()
                .width(CHART_WIDTH_PIXELS)
                .height(CHART_HEIGHT_PIXELS)
                .title("Served in time by phase and kind")
                .yAxisTitle("percent")
                .build();
        chart.getStyler().setXAxisLabelRotation(45);
        results.forEach(result -> {
            List<String> labels = new ArrayList<>();
            List<Double> percentages = new ArrayList<>();
            result.report().kinds().forEach(figures -> {
                labels.add(figures.phase() + ' ' + figures.kind());
                percentages.add(100.0 * figures.inTime() / figures.sent());
            });
            chart.addSeries(result.system(), labels, percentages);
        });
        return chart;
    }
}
