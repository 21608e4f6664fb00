package org.sardineshunt.kit;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.GlobalMetadata;

/** Prints the help of a program or of one of its commands. */
@Command(name = "help", description = "Show help about a command")
public final class HelpCommand implements ProgramCommand {
    @AirlineModule
    private GlobalMetadata<ProgramCommand> program;

    @Arguments(description = "The command")
    private List<String> command = new ArrayList<>();

    @Override
    public ExitCode execute() throws IOException {
        Help.help(program, command, System.out);
        return ExitCode.OK;
    }
}
