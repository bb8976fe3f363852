package org.rattanport.daemon.command;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;
import org.rattanport.connectors.json.SettingsParser;
import org.rattanport.kernel.error.ErrorCode;

/** Validates a settings file. */
public final class CheckSettingsCommand implements Command {
    private static final class Options {
        @Parameter(description = "FILE", required = true)
        private String mFile = "";
    }

    private final Options mOptions = new Options();

    @Override
    public String name() {
        return "check-settings";
    }

    @Override
    public String summary() {
        return "validate a settings file and report all errors";
    }

    @Override
    public Object options() {
        return mOptions;
    }

    @Override
    public int run(CommandOutput output) {
        InputFiles.parse(
                Path.of(mOptions.mFile), ErrorCode.INVALID_SETTINGS, SettingsParser::parse);
        output.results().println(mOptions.mFile + ": valid");
        return ExitCode.SUCCESS;
    }
}
