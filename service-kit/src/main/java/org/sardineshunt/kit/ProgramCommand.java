package org.sardineshunt.kit;

/** A command of a program's command line. */
@FunctionalInterface
public interface ProgramCommand {
    /**
     * Runs the command and returns the exit code.
     *
     * @throws Exception if the command fails; the program prints it and exits with {@link ExitCode#FAILED}
     */
    ExitCode execute() throws Exception;
}
