package org.rattanport.daemon.command;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;
import org.rattanport.connectors.json.SettingsParser;
import org.rattanport.daemon.Instance;
import org.rattanport.daemon.Logging;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.settings.InstanceSettings;

/** Runs one entry instance until the process receives a signal to stop. */
public final class ServeCommand implements Command {
    private static final class Options {
        @Parameter(names = "--settings", required = true, description = "settings file")
        private String mSettings = "";

        @Parameter(names = "--log-level", description = "DEBUG, INFO, WARN or ERROR")
        private String mLogLevel = "INFO";
    }

    private final Options mOptions = new Options();

    @Override
    public String name() {
        return "serve";
    }

    @Override
    public String summary() {
        return "run one entry instance; SIGTERM stops it gracefully";
    }

    @Override
    public Object options() {
        return mOptions;
    }

    @Override
    public int run(CommandOutput output) {
        Logging.configure(System.out, mOptions.mLogLevel);
        InstanceSettings settings =
                InputFiles.parse(
                        Path.of(mOptions.mSettings),
                        ErrorCode.INVALID_SETTINGS,
                        SettingsParser::parse);
        Instance instance = Instance.builder(settings).build();
        Serving.start(instance);
        output.results().println("serving at " + instance.localAddresses().callerAddress());
        Serving.awaitShutdown();
        return ExitCode.SUCCESS;
    }
}
