package org.rattanport.daemon.command;

import com.beust.jcommander.Parameter;

/** Prints the state of an instance, read with one request. */
public abstract class OperatorReadCommand implements Command {
    private final ClientOptions mOptions;

    OperatorReadCommand(ClientOptions options) {
        mOptions = options;
    }

    @Override
    public Object options() {
        return mOptions;
    }

    abstract String path();

    @Override
    public int run(CommandOutput output) {
        return mOptions.executeAndPrint(mOptions.requestBuilder(path()).get(), output);
    }

    /** Prints the addresses that callers may use. */
    public static final class Addresses extends OperatorReadCommand {
        public Addresses() {
            super(new ClientOptions());
        }

        @Override
        public String name() {
            return "addresses";
        }

        @Override
        public String summary() {
            return "show the addresses that callers may use";
        }

        @Override
        String path() {
            return "/v1/addresses";
        }
    }

    /** Prints the members of the cluster. */
    public static final class Members extends OperatorReadCommand {
        public Members() {
            super(new ClientOptions());
        }

        @Override
        public String name() {
            return "members";
        }

        @Override
        public String summary() {
            return "show the instances and their states according to one instance";
        }

        @Override
        String path() {
            return "/operator/members";
        }
    }

    /** Prints the targets and their load. */
    public static final class Targets extends OperatorReadCommand {
        public Targets() {
            super(new ClientOptions());
        }

        @Override
        public String name() {
            return "targets";
        }

        @Override
        public String summary() {
            return "show the targets and their load according to one instance";
        }

        @Override
        String path() {
            return "/operator/targets";
        }
    }

    /** Prints the audit trail. */
    public static final class Audit extends OperatorReadCommand {
        public Audit() {
            super(new ClientOptions());
        }

        @Override
        public String name() {
            return "audit";
        }

        @Override
        public String summary() {
            return "show the latest changes and their outcomes";
        }

        @Override
        String path() {
            return "/operator/audit";
        }
    }

    /** Prints the explanation of one request. */
    public static final class Explain extends OperatorReadCommand {
        private static final class Options extends ClientOptions {
            @Parameter(description = "REQUEST-ID", required = true)
            private String mRequestId = "";
        }

        private final Options mOptions;

        public Explain() {
            this(new Options());
        }

        private Explain(Options options) {
            super(options);
            mOptions = options;
        }

        @Override
        public String name() {
            return "explain";
        }

        @Override
        public String summary() {
            return "show the recorded steps of one request";
        }

        @Override
        String path() {
            return "/operator/requests/" + mOptions.mRequestId;
        }
    }
}
