package org.rattanport.daemon.command;

import com.beust.jcommander.Parameter;

/**
 * Prints the stored versions of an environment document and the versions active at the instances.
 */
public abstract class EnvironmentReadCommand implements Command {
    private static final class Options extends ClientOptions {
        @Parameter(names = "--stage", description = "trial or production")
        private String mStage = "production";
    }

    private final Options mOptions = new Options();

    @Override
    public Object options() {
        return mOptions;
    }

    /** Part of the request path after the stage. */
    abstract String pathSuffix();

    @Override
    public int run(CommandOutput output) {
        String path = "/operator/environment/" + mOptions.mStage + pathSuffix();
        return mOptions.executeAndPrint(mOptions.requestBuilder(path).get(), output);
    }

    /** Prints the current version of a stage. */
    public static final class Show extends EnvironmentReadCommand {
        @Override
        public String name() {
            return "environment show";
        }

        @Override
        public String summary() {
            return "show the current version of a stage";
        }

        @Override
        String pathSuffix() {
            return "";
        }
    }

    /** Lists the versions of a stage. */
    public static final class History extends EnvironmentReadCommand {
        @Override
        public String name() {
            return "environment history";
        }

        @Override
        public String summary() {
            return "list the versions of a stage";
        }

        @Override
        String pathSuffix() {
            return "/history";
        }
    }

    /** Prints the version that is active at each instance. */
    public static final class Status extends EnvironmentReadCommand {
        @Override
        public String name() {
            return "environment status";
        }

        @Override
        public String summary() {
            return "show which version is active at each instance";
        }

        @Override
        String pathSuffix() {
            return "/status";
        }
    }
}
