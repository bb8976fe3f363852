package org.rattanport.daemon;

import java.util.List;
import org.rattanport.daemon.command.CommandLine;
import org.rattanport.daemon.command.CommandOutput;

/** Entry point of every process. */
public final class Main {
    private Main() {}

    /** Runs the command that the arguments name and exits with its exit code. */
    public static void main(String[] arguments) {
        // The first use of any logging class fixes the log manager, so the property is set first.
        System.setProperty("java.util.logging.manager", NonResettingLogManager.class.getName());
        Logging.configure(System.err, "WARN");
        int code =
                CommandLine.registered()
                        .run(List.of(arguments), new CommandOutput(System.out, System.err));
        // Without an explicit exit, remaining server threads keep the process alive.
        System.exit(code);
    }
}
