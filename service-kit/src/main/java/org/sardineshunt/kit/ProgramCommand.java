package org.sardineshunt.kit;

/** One command of a program's command line. */
@FunctionalInterface
public interface ProgramCommand {
    /**
     * Runs the command.
     *
     * @throws Exception to end the program with its message and {@link ExitCode#FAILED}
     */
    ExitCode execute() throws Exception;
}
