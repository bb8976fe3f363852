package org.rattanport.daemon.command;

import com.beust.jcommander.Parameter;
import org.rattanport.connectors.caller.KeyHash;

/** Prints the hash of a key in the form that environment documents and settings contain. */
public final class HashKeyCommand implements Command {
    private static final class Options {
        @Parameter(
                names = "--key-variable",
                description = "environment variable that contains the key")
        private String mKeyVariable = "RATTANPORT_KEY";
    }

    private final Options mOptions = new Options();

    @Override
    public String name() {
        return "hash-key";
    }

    @Override
    public String summary() {
        return "print the hash of the key in an environment variable";
    }

    @Override
    public Object options() {
        return mOptions;
    }

    @Override
    public int run(CommandOutput output) {
        String key = System.getenv(mOptions.mKeyVariable);
        if (key == null || key.isBlank()) {
            output.errors()
                    .println(
                            "the environment variable "
                                    + mOptions.mKeyVariable
                                    + " is missing or blank");
            return ExitCode.USAGE;
        }
        output.results().println(KeyHash.of(key));
        return ExitCode.SUCCESS;
    }
}
