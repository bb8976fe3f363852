package org.rattanport.daemon.command;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/** Finds the command that the arguments name, parses its options and runs it. */
public final class CommandLine {
    private final List<Command> mCommands;

    public CommandLine(List<Command> commands) {
        mCommands =
                commands.stream()
                        .sorted(
                                Comparator.comparing((Command each) -> -each.words().size())
                                        .thenComparing(Command::name))
                        .toList();
    }

    /** Returns a command line with all commands that the class path registers as services. */
    public static CommandLine registered() {
        return new CommandLine(
                ServiceLoader.load(Command.class).stream()
                        .map(ServiceLoader.Provider::get)
                        .toList());
    }

    /** Runs the command that the arguments name and returns the exit code. */
    public int run(List<String> arguments, CommandOutput output) {
        if (arguments.isEmpty() || arguments.getFirst().equals("--help")) {
            printCommands(output);
            return arguments.isEmpty() ? ExitCode.USAGE : ExitCode.SUCCESS;
        }
        Optional<Command> command = findCommand(arguments);
        if (command.isEmpty()) {
            output.errors().println("\"" + arguments.getFirst() + "\" is not a command");
            printCommands(output);
            return ExitCode.USAGE;
        }
        int words = command.get().words().size();
        return run(command.get(), arguments.subList(words, arguments.size()), output);
    }

    private int run(Command command, List<String> arguments, CommandOutput output) {
        JCommander parser = JCommander.newBuilder().addObject(command.options()).build();
        parser.setProgramName("rattanport " + command.name());
        if (arguments.contains("--help")) {
            StringBuilder usage = new StringBuilder(command.summary()).append('\n');
            parser.getUsageFormatter().usage(usage);
            output.results().print(usage);
            return ExitCode.SUCCESS;
        }
        try {
            parser.parse(arguments.toArray(String[]::new));
            requireOptions(parser);
        } catch (ParameterException e) {
            output.errors().println(command.name() + ": " + e.getMessage());
            return ExitCode.USAGE;
        }
        try {
            return command.run(output);
        } catch (RattanportException e) {
            output.errors()
                    .println(
                            command.name()
                                    + ": "
                                    + e.code().wireName()
                                    + " ("
                                    + e.verdict().wireName()
                                    + "): "
                                    + e.getMessage());
            return exitCode(e.code());
        }
    }

    /** Checks required options, as JCommander checks them only if there is an argument. */
    private static void requireOptions(JCommander parser) {
        parser.getParameters().stream()
                .filter(each -> each.getParameter().required() && !each.isAssigned())
                .findFirst()
                .ifPresent(
                        each -> {
                            throw new ParameterException(each.getNames() + " is required");
                        });
    }

    private static int exitCode(ErrorCode code) {
        return switch (code) {
            case INVALID_SETTINGS, INVALID_DOCUMENT -> ExitCode.INVALID_INPUT;
            case TARGET_FAILED, DEADLINE_EXCEEDED -> ExitCode.UNREACHABLE;
            default -> ExitCode.FAILED;
        };
    }

    private Optional<Command> findCommand(List<String> arguments) {
        return mCommands.stream()
                .filter(each -> arguments.size() >= each.words().size())
                .filter(each -> arguments.subList(0, each.words().size()).equals(each.words()))
                .findFirst();
    }

    private void printCommands(CommandOutput output) {
        output.results()
                .println(
                        "usage: rattanport COMMAND [OPTIONS]   (COMMAND --help lists the options)");
        List<Command> byName = new ArrayList<>(mCommands);
        byName.sort(Comparator.comparing(Command::name));
        byName.forEach(
                each ->
                        output.results()
                                .println(String.format("  %-22s %s", each.name(), each.summary())));
        output.results()
                .println(
                        "exit codes: 0 success, 1 failed or rejected, 2 invalid command line, 3"
                                + " missing or invalid file, 4 no instance reachable");
    }
}
