package org.sardineshunt.standin;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.builder.CliBuilder;
import org.sardineshunt.kit.CommandLine;
import org.sardineshunt.kit.ExitCode;
import org.sardineshunt.kit.HelpCommand;
import org.sardineshunt.kit.ProgramCommand;

/** Command line of the program {@code sardineshunt-stand-in}. */
public final class StandInMain {
    private StandInMain() {}

    /** Runs the command that the arguments name and exits with its code. */
    public static void main(String[] arguments) {
        CliBuilder<ProgramCommand> cli = new CliBuilder<ProgramCommand>("sardineshunt-stand-in")
                .withDescription("Run stand-ins for the platform and for backend servers")
                .withDefaultCommand(HelpCommand.class)
                .withCommands(List.of(HelpCommand.class, PlatformCommand.class, BackendServerCommand.class));
        ExitCode code = CommandLine.run(cli.build(), System.out, System.err, arguments);
        System.exit(code.code());
    }

    private static ExitCode awaitTermination() throws InterruptedException {
        new CountDownLatch(1).await();
        return ExitCode.OK;
    }

    /** Runs the platform stand-in until the process is stopped. */
    @Command(name = "platform", description = "Run an in-memory table service and object store")
    public static final class PlatformCommand implements ProgramCommand {
        @Option(name = "--port", description = "Port on loopback; 0 lets the system choose")
        private int port;

        @Override
        public ExitCode execute() throws InterruptedException {
            PlatformStandIn standIn = PlatformStandIn.start(port);
            System.out.println("platform listening on port " + standIn.port());
            return awaitTermination();
        }
    }

    /** Runs a backend server stand-in until the process is stopped. */
    @Command(name = "backend-server", description = "Run a backend server that announces itself to its home node")
    public static final class BackendServerCommand implements ProgramCommand {
        @Option(name = "--id", description = "Unique id of the upstream")
        private String id = "upstream-1";

        @Option(name = "--service", description = "Name of the service that it serves")
        private String service = "demo";

        @Option(name = "--port", description = "Port on loopback; 0 lets the system choose")
        private int port;

        @Option(name = "--home-port", description = "Operator port of its home node on loopback")
        private int homePort = 7101;

        @Option(name = "--slots", description = "Number of requests that it runs concurrently")
        private int slots = 4;

        @Option(name = "--service-millis", description = "Mean service time in milliseconds")
        private int serviceMillis = 10;

        @Option(name = "--cold-start-millis", description = "Duration of the cold start in milliseconds")
        private long coldStartMillis;

        @Arguments(description = "Labels of the form name=value")
        private List<String> labels = new ArrayList<>();

        @Override
        public ExitCode execute() throws InterruptedException {
            Map<String, String> labelValues = new TreeMap<>();
            Arrays.stream(labels.toArray(new String[0]))
                    .map(label -> label.split("=", 2))
                    .filter(parts -> parts.length == 2)
                    .forEach(parts -> labelValues.put(parts[0], parts[1]));
            ServerOptions options = new ServerOptions(
                    id,
                    service,
                    labelValues,
                    port,
                    homePort,
                    slots,
                    serviceMillis,
                    coldStartMillis,
                    300,
                    id.hashCode());
            BackendServerStandIn standIn = BackendServerStandIn.start(
                    options, () -> Runtime.getRuntime().halt(1));
            System.out.println("backend server " + id + " listening on port " + standIn.port());
            return awaitTermination();
        }
    }
}
