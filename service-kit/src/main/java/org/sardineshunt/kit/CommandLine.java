package org.sardineshunt.kit;

import java.io.PrintStream;
import java.util.Arrays;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.parser.errors.ParseException;

/** Runs an Airline command line. All programs share its options {@code --version} and {@code --help} and exit codes. */
public final class CommandLine {
    private CommandLine() {}

    /**
     * Parses the arguments and runs the chosen command.
     *
     * @return the command's exit code; {@link ExitCode#USAGE} if the arguments are malformed, {@link ExitCode#FAILED}
     *     if the command throws
     */
    public static ExitCode run(Cli<ProgramCommand> cli, PrintStream out, PrintStream err, String... arguments) {
        if (Arrays.asList(arguments).contains("--version")) {
            out.println(cli.getMetadata().getName() + " " + Version.TEXT);
            return ExitCode.OK;
        }
        String[] effectiveArguments = helpRequested(arguments) ? new String[] {"help"} : arguments;
        try {
            return cli.parse(effectiveArguments).execute();
        } catch (ParseException malformed) {
            err.println(cli.getMetadata().getName() + ": " + malformed.getMessage() + " (see --help)");
            return ExitCode.USAGE;
        } catch (Exception failure) {
            err.println(cli.getMetadata().getName() + ": " + failure);
            return ExitCode.FAILED;
        }
    }

    private static boolean helpRequested(String... arguments) {
        return arguments.length == 0 || arguments[0].equals("--help");
    }
}
