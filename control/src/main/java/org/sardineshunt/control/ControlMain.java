package org.sardineshunt.control;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.builder.CliBuilder;
import io.vavr.control.Either;
import org.sardineshunt.control.NodeClient.Problem;
import org.sardineshunt.kit.CommandLine;
import org.sardineshunt.kit.ExitCode;
import org.sardineshunt.kit.HelpCommand;
import org.sardineshunt.kit.ProgramCommand;
import org.sardineshunt.kit.TimeSpan;
import org.sardineshunt.protocol.operator.OperatorMessages.ChangeResult;
import org.sardineshunt.protocol.operator.OperatorMessages.Digest;
import org.sardineshunt.protocol.operator.OperatorMessages.Explanation;
import org.sardineshunt.protocol.operator.OperatorMessages.IntentProposal;
import org.sardineshunt.protocol.operator.OperatorMessages.Overrides;
import org.sardineshunt.protocol.operator.OperatorMessages.ServiceReport;
import org.sardineshunt.protocol.operator.OperatorMessages.Status;

/** The program {@code sardineshunt-control}, with which operators query nodes and change overrides. */
public final class ControlMain {
    private ControlMain() {}

    /** Runs the program. */
    public static void main(String[] arguments) {
        System.exit(run(arguments).code());
    }

    /** Runs the program without ending the process, and returns its exit code. */
    static ExitCode run(String... arguments) {
        CliBuilder<ProgramCommand> cli = new CliBuilder<ProgramCommand>("sardineshunt-control")
                .withDescription("Shows and changes what operators ask of the fleet")
                .withDefaultCommand(HelpCommand.class)
                .withCommands(List.of(
                        HelpCommand.class,
                        StatusCommand.class,
                        ServicesCommand.class,
                        RoutesCommand.class,
                        ExplainCommand.class,
                        DigestCommand.class));
        cli.withGroup("overrides")
                .withDescription("Standing overrides")
                .withDefaultCommand(OverridesListCommand.class)
                .withCommands(
                        List.of(OverridesListCommand.class, OverridesAddCommand.class, OverridesRemoveCommand.class));
        return CommandLine.run(cli.build(), System.out, System.err, arguments);
    }

    private static ExitCode printChangeResult(Either<Problem, ChangeResult> result, NodeCommand command) {
        ExitCode exitCode = command.print(result, Reports::changeResult);
        boolean refused = result.isRight() && !result.get().accepted();
        return refused ? ExitCode.FAILED : exitCode;
    }

    /** Prints the state of a node and the nodes that it knows. */
    @Command(name = "status", description = "State of a node and the nodes that it knows")
    public static final class StatusCommand extends NodeCommand {
        @Override
        public ExitCode execute() {
            return print(client().get("/operator/status", Status.class), Reports::status);
        }
    }

    /** Prints all services with their capacity and floor. */
    @Command(name = "services", description = "Services with their capacity and floor")
    public static final class ServicesCommand extends NodeCommand {
        @Override
        public ExitCode execute() {
            return print(
                    client().get("/operator/services", ServiceReport[].class),
                    services -> Reports.services(List.of(services)));
        }
    }

    /** Prints the routes of a node. */
    @Command(name = "routes", description = "Routes of a node")
    public static final class RoutesCommand extends NodeCommand {
        @Override
        public ExitCode execute() {
            return print(client().get("/operator/routes", JsonNode.class), RoutesCommand::table);
        }

        private static String table(JsonNode routes) {
            TextTable table =
                    new TextTable("METHOD", "PATH", "SERVICE", "RANK", "IDEMPOTENT", "KEY REQUIRED", "DEADLINE");
            routes.forEach(route -> table.addRow(
                    route.path("method").asText(),
                    route.path("path").asText(),
                    route.path("service").asText(),
                    route.path("rank").asText(),
                    route.path("idempotent").asText(),
                    route.path("keyRequired").asText(),
                    route.path("deadline").asText()));
            return table.render();
        }
    }

    /** Prints why each upstream of a service is in or out of rotation. */
    @Command(name = "explain", description = "Why each upstream of a service is in or out now")
    public static final class ExplainCommand extends NodeCommand {
        @Required
        @Arguments(description = "Service")
        private String service;

        @Override
        public ExitCode execute() {
            return print(
                    client().get("/operator/services/" + NodeClient.encode(service), Explanation.class),
                    Reports::explanation);
        }
    }

    /** Prints the changes since a time and the overrides now in force. */
    @Command(name = "digest", description = "What changed since some time, and what is in force now")
    public static final class DigestCommand extends NodeCommand {
        @Option(name = "--since", description = "How far to look back, such as 12h or 30m; default 12h")
        private String since = "12h";

        @Override
        public ExitCode execute() {
            long nowEpochMillis = System.currentTimeMillis();
            long sinceEpochMillis = nowEpochMillis - TimeSpan.parse(since).millis();
            return print(
                    client().get("/operator/digest?since=" + sinceEpochMillis, Digest.class),
                    digest -> Reports.digest(digest, nowEpochMillis));
        }
    }

    /** Prints all overrides. */
    @Command(name = "list", description = "All overrides, whoever set them")
    public static final class OverridesListCommand extends NodeCommand {
        @Override
        public ExitCode execute() {
            return print(
                    client().get("/operator/overrides", Overrides.class),
                    overrides -> Reports.overrides(overrides, System.currentTimeMillis()));
        }
    }

    /** Adds or replaces an override. */
    @Command(name = "add", description = "Add or replace an override")
    public static final class OverridesAddCommand extends NodeCommand {
        @Required
        @Option(name = "--id", description = "Name of the override")
        private String id;

        @Required
        @Option(name = "--action", description = "keep-in, drain, urgent or floor")
        private String action;

        @Option(name = "--argument", description = "Rank for urgent, share for floor")
        private String argument = "";

        @Required
        @Option(name = "--selector", description = "Such as service=seat-booking,zone=a|b")
        private String selector;

        @Required
        @Option(name = "--author", description = "Who sets it")
        private String author;

        @Required
        @Option(name = "--reason", description = "Why")
        private String reason;

        @Option(name = "--lasts", description = "How long it stays in force, such as 2h; default for always")
        private String lasts;

        @Option(name = "--against", description = "Revision that the change is made against; default the current one")
        private Long against;

        @Override
        public ExitCode execute() {
            Long lastsMillis = lasts == null ? null : TimeSpan.parse(lasts).millis();
            IntentProposal proposal =
                    new IntentProposal(id, action, argument, selector, author, reason, lastsMillis, against);
            return printChangeResult(client().post("/operator/overrides", proposal, ChangeResult.class), this);
        }
    }

    /** Removes an override. */
    @Command(name = "remove", description = "Remove an override")
    public static final class OverridesRemoveCommand extends NodeCommand {
        @Required
        @Arguments(description = "Name of the override")
        private String id;

        @Required
        @Option(name = "--author", description = "Who removes it")
        private String author;

        @Required
        @Option(name = "--reason", description = "Why")
        private String reason;

        @Option(name = "--against", description = "Revision that the change is made against; default the current one")
        private Long against;

        @Override
        public ExitCode execute() {
            String query = "?author=" + NodeClient.encode(author) + "&reason=" + NodeClient.encode(reason)
                    + (against == null ? "" : "&against=" + against);
            return printChangeResult(
                    client().delete("/operator/overrides/" + NodeClient.encode(id) + query, ChangeResult.class), this);
        }
    }
}
