package org.rattanport.daemon.command;

import java.util.List;

/** A command of the command line; found with {@link java.util.ServiceLoader}. */
public interface Command {
    /** Words that choose the command, as {@code environment put}. */
    String name();

    /** One line for the list of commands. */
    String summary();

    /** Object whose annotated fields JCommander fills. */
    Object options();

    /**
     * Runs the command.
     *
     * @return the exit code of the process, one of {@link ExitCode}
     */
    int run(CommandOutput output);

    /** Words of the name. */
    default List<String> words() {
        return List.of(name().split(" "));
    }
}
