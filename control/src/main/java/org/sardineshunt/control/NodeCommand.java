package org.sardineshunt.control;

import java.util.function.Function;

import com.github.rvesse.airline.annotations.Option;
import io.vavr.control.Either;
import org.sardineshunt.control.NodeClient.Problem;
import org.sardineshunt.kit.ExitCode;
import org.sardineshunt.kit.Json;
import org.sardineshunt.kit.ProgramCommand;

/** A command that sends one request to a node and prints the report as a table or as JSON. */
abstract class NodeCommand implements ProgramCommand {
    @Option(name = "--node", description = "Operator URL of any node; default http://127.0.0.1:7201")
    private String node = "http://127.0.0.1:7201";

    @Option(name = "--json", description = "Print JSON")
    private boolean json;

    NodeClient client() {
        return new NodeClient(node);
    }

    /** Prints a report to standard output, or a problem to standard error; returns the exit code. */
    <T> ExitCode print(Either<Problem, T> result, Function<T, String> formatter) {
        return result.fold(NodeCommand::printProblem, report -> {
            System.out.println(json ? Json.writePretty(report) : formatter.apply(report));
            return ExitCode.OK;
        });
    }

    static ExitCode printProblem(Problem problem) {
        System.err.println(problem.message());
        return problem.code();
    }
}
