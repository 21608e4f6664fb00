package org.sardineshunt.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.builder.CliBuilder;
import io.vavr.control.Either;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.sardineshunt.kit.CommandLine;
import org.sardineshunt.kit.ExitCode;
import org.sardineshunt.kit.HelpCommand;
import org.sardineshunt.kit.Json;
import org.sardineshunt.kit.ProgramCommand;
import org.sardineshunt.load.LoadPlan.Phase;
import org.sardineshunt.node.NodeSettings;

/** Main class of the program {@code sardineshunt-load}. */
public final class LoadMain {
    private LoadMain() {}

    /** Runs the command that the arguments name, and exits with its exit code. */
    public static void main(String[] arguments) {
        CliBuilder<ProgramCommand> cli = new CliBuilder<ProgramCommand>("sardineshunt-load")
                .withDescription("Send open-loop load by rank, and run experiments")
                .withDefaultCommand(HelpCommand.class)
                .withCommands(
                        List.of(HelpCommand.class, RunCommand.class, ExperimentCommand.class, CapacityCommand.class));
        System.exit(
                CommandLine.run(cli.build(), System.out, System.err, arguments).code());
    }

    /** Sends load to running nodes and checks every answer. */
    @Command(name = "run", description = "Send load to running nodes and check every answer")
    public static final class RunCommand implements ProgramCommand {
        @Required
        @Option(name = "--deployment", description = "Deployment file that names the kinds of requests")
        private String deploymentFile;

        @Required
        @Option(name = "--targets", description = "Base URLs of the caller ports of nodes, separated by commas")
        private String targets;

        @Option(
                name = "--backend-servers",
                description = "Base URLs of backend servers, to check how often each request ran")
        private String backendServers = "";

        @Option(name = "--kinds", description = "Kinds of requests to send, separated by commas; default all")
        private String kinds = "";

        @Option(name = "--factor", description = "Factor by which the usual rates are multiplied")
        private double factor = 1;

        @Option(name = "--seconds", description = "Duration of the run in seconds")
        private int seconds = 10;

        @Option(name = "--seed", description = "Seed of the arrival times")
        private long seed = 1;

        @Option(name = "--out", description = "File for the report as JSON")
        private String out;

        @Override
        public ExitCode execute() throws IOException {
            Either<String, Deployment> read = Deployment.read(Path.of(deploymentFile));
            if (read.isLeft()) {
                System.err.println(read.getLeft());
                return ExitCode.SETTINGS;
            }
            LoadReport report = run(read.get());
            System.out.print(report.table());
            if (out != null) {
                Files.writeString(Path.of(out), Json.writePretty(report));
            }
            return report.safety().holds() ? ExitCode.OK : ExitCode.FAILED;
        }

        private LoadReport run(Deployment deployment) throws IOException {
            List<String> kindNames = split(kinds);
            List<Deployment.WorkKind> selectedKinds = deployment.kinds().stream()
                    .filter(kind -> kindNames.isEmpty() || kindNames.contains(kind.name()))
                    .toList();
            Map<String, Double> rateFactors = new TreeMap<>();
            selectedKinds.forEach(kind -> rateFactors.put(kind.name(), factor));
            LoadPlan plan =
                    LoadPlan.generate(selectedKinds, List.of(new Phase("run", 0, seconds * 1_000L, rateFactors)), seed);
            try (LoadClient client = new LoadClient(split(targets), 0)) {
                String workIdPrefix = "w" + seed + "-" + Long.toString(System.currentTimeMillis(), 36);
                LoadRunner runner = new LoadRunner(
                        client,
                        workIdPrefix,
                        count -> System.err.println(
                                "sent " + count + " of " + plan.arrivals().size()));
                return LoadReport.of(runner.run(plan), readRunsByWorkId());
            }
        }

        private Map<String, Integer> readRunsByWorkId() throws IOException {
            Map<String, Integer> total = new TreeMap<>();
            OkHttpClient client = new OkHttpClient();
            for (String server : split(backendServers)) {
                Request request =
                        new Request.Builder().url(server + "/control/runs").build();
                try (Response response = client.newCall(request).execute()) {
                    Json.readTree(response.body().bytes()).forEach(json -> json.fields()
                            .forEachRemaining(entry ->
                                    total.merge(entry.getKey(), entry.getValue().asInt(), Integer::sum)));
                }
            }
            return total;
        }

        private static List<String> split(String list) {
            return Arrays.stream(list.split(","))
                    .map(String::strip)
                    .filter(text -> !text.isEmpty())
                    .toList();
        }
    }

    /** Runs a scenario with the fleet and with baseline proxies. */
    @Command(name = "experiment", description = "Run a scenario with the fleet and with two baseline proxies")
    public static final class ExperimentCommand implements ProgramCommand {
        @Required
        @Arguments(description = "Name of the scenario")
        private String name;

        @Required
        @Option(name = "--deployment", description = "Deployment file")
        private String deploymentFile;

        @Option(name = "--systems", description = "Systems to run; default sardineshunt,least-outstanding,round-robin")
        private String systems = "sardineshunt,least-outstanding,round-robin";

        @Option(name = "--seed", description = "Seed of the arrival times")
        private long seed = 1;

        @Option(name = "--out", description = "Directory for report.json, report.txt and report.html")
        private String out;

        @Override
        public ExitCode execute() throws IOException {
            Path file = Path.of(deploymentFile);
            Either<String, Deployment> deployment = Deployment.read(file);
            Either<String, NodeSettings> template = deployment.flatMap(read -> read.readNodeSettings(file));
            if (template.isLeft()) {
                System.err.println(template.getLeft());
                return ExitCode.SETTINGS;
            }
            Optional<Scenario> scenario = Scenario.find(name);
            if (scenario.isEmpty()) {
                System.err.println("unknown scenario '" + name + "'; allowed: "
                        + Arrays.stream(Scenario.values()).map(Scenario::label).collect(Collectors.joining(", ")));
                return ExitCode.USAGE;
            }
            Experiment experiment = new Experiment(deployment.get(), template.get(), scenario.get(), seed);
            List<Experiment.SystemResult> results = experiment.run(Arrays.asList(systems.split(",")));
            results.forEach(result -> System.out.print(result.table()));
            if (out != null) {
                ExperimentReport.write(Path.of(out), name, results);
            }
            return results.get(0).report().safety().holds() ? ExitCode.OK : ExitCode.FAILED;
        }
    }

    /** Measures the costs of control state and of running fleets at several sizes. */
    @Command(name = "capacity", description = "Measure memory, message sizes and processor time of control state")
    public static final class CapacityCommand implements ProgramCommand {
        @Required
        @Option(name = "--settings", description = "Settings file with the ranks and routes of the measured fleets")
        private String settingsFile;

        @Override
        public ExitCode execute() {
            Either<String, NodeSettings> settings = NodeSettings.read(Path.of(settingsFile));
            if (settings.isLeft()) {
                System.err.println(settings.getLeft());
                return ExitCode.SETTINGS;
            }
            FleetCostBenchmark benchmark = new FleetCostBenchmark(settings.get());
            System.out.print(benchmark.addedLatency());
            System.out.print(benchmark.controlCost());
            System.out.print(new CapacityBenchmark().run());
            return ExitCode.OK;
        }
    }
}
