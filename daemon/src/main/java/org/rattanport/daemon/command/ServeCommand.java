package org.rattanport.daemon.command;

import com.beust.jcommander.Parameter;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.jboss.logging.Logger;
import org.rattanport.connectors.json.SettingsReader;
import org.rattanport.daemon.Instance;
import org.rattanport.daemon.Logging;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/** Runs one entry instance until it is told to stop. */
public final class ServeCommand implements Command {
    private static final Logger LOGGER = Logger.getLogger(ServeCommand.class);

    private static final class Options {
        @Parameter(names = "--settings", required = true, description = "settings file")
        private String mSettings = "";

        @Parameter(names = "--json-logs", description = "write log lines as JSON")
        private boolean mHasJsonLogs;

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
        Logging.configure(mOptions.mHasJsonLogs, mOptions.mLogLevel);
        Instance instance =
                Instance.builder(
                                Files.parse(
                                        Path.of(mOptions.mSettings),
                                        ErrorCode.INVALID_SETTINGS,
                                        SettingsReader::parse))
                        .start();
        output.results().println("serving at " + instance.endpoints().callerAddress());
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndHalt(instance), "drain"));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            throw RattanportException.interrupted();
        }
        return ExitCode.SUCCESS;
    }

    /** Ends the process with a code that says whether a request was cut. */
    private static void drainAndHalt(Instance instance) {
        boolean isClean = instance.stop();
        LOGGER.infof("stopped, nothing cut: %s", isClean);
        Runtime.getRuntime().halt(isClean ? ExitCode.SUCCESS : ExitCode.FAILED);
    }
}
