package org.rattanport.daemon;

import java.util.List;
import org.rattanport.daemon.command.CommandLine;
import org.rattanport.daemon.command.CommandOutput;

/** Entry point of every process. */
public final class Main {
    private Main() {}

    /** Runs the command that the arguments name and ends with its exit code. */
    public static void main(String[] arguments) {
        // Set here, as the first use of any class of the log would choose the standard manager.
        System.setProperty("java.util.logging.manager", KeptLogManager.class.getName());
        Logging.configure(System.err, "WARN");
        int code =
                CommandLine.registered()
                        .run(List.of(arguments), new CommandOutput(System.out, System.err));
        // Without exit, server threads of a command that ended would keep the process alive.
        System.exit(code);
    }
}
