package org.sardineshunt.node;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.builder.CliBuilder;
import io.vavr.control.Either;
import org.sardineshunt.kit.CommandLine;
import org.sardineshunt.kit.ExitCode;
import org.sardineshunt.kit.HelpCommand;
import org.sardineshunt.kit.ProgramCommand;
import org.sardineshunt.node.peer.FrameFilter;

/** Command line of the program {@code sardineshunt-node}. */
public final class NodeMain {
    private NodeMain() {}

    /** Runs the program. */
    public static void main(String[] arguments) {
        CliBuilder<ProgramCommand> cli = new CliBuilder<ProgramCommand>("sardineshunt-node")
                .withDescription("Proxy node beside a backend server: entry for callers and home of upstreams")
                .withDefaultCommand(HelpCommand.class)
                .withCommands(List.of(HelpCommand.class, RunCommand.class));
        ExitCode code = CommandLine.run(cli.build(), System.out, System.err, arguments);
        System.exit(code.code());
    }

    /** Runs a node until SIGTERM stops the process, or only checks its settings. */
    @Command(name = "run", description = "Run a node; SIGTERM stops it gracefully")
    public static final class RunCommand implements ProgramCommand {
        @Required
        @Option(name = "--settings", description = "Settings file (JSON with comments)")
        private String settingsFile;

        @Option(name = "--check-settings", description = "Only check the settings, then exit")
        private boolean checkOnly;

        @Override
        public ExitCode execute() throws InterruptedException {
            Either<String, NodeSettings> settings = NodeSettings.read(Path.of(settingsFile));
            if (settings.isLeft()) {
                System.err.println(settings.getLeft());
                return ExitCode.SETTINGS;
            }
            if (checkOnly) {
                System.out.println(settingsFile + ": settings are valid");
                return ExitCode.OK;
            }
            return serve(settings.get());
        }

        private static ExitCode serve(NodeSettings settings) throws InterruptedException {
            Node node = Node.start(settings, FrameFilter.PASS_ALL);
            Runtime.getRuntime().addShutdownHook(new Thread(node::stop, "graceful-shutdown"));
            System.out.printf(
                    "node %s: callers on port %d, operators on port %d, peers on port %d%n",
                    settings.nodeId(), node.callerPort(), node.operatorPort(), node.peerPort());
            new CountDownLatch(1).await();
            return ExitCode.OK;
        }
    }
}
