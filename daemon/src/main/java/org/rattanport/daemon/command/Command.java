package org.rattanport.daemon.command;

import java.util.List;

/** A command of the command line. {@link java.util.ServiceLoader} finds the implementations. */
public interface Command {
    /** Words that select the command, such as {@code environment put}. */
    String name();

    /** One-line description for the list of commands. */
    String summary();

    /** Object with the annotated fields that JCommander sets from the arguments. */
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
