package org.rattanport.daemon.command;

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
}
