package org.rattanport.daemon.command;

/** Exit codes of the command line. */
public final class ExitCode {
    public static final int SUCCESS = 0;

    /** The command ran and found a fault, or the system refused. */
    public static final int FAILED = 1;

    /** The command line itself is wrong. */
    public static final int USAGE = 2;

    /** A file is missing or not valid. */
    public static final int INVALID_INPUT = 3;

    /** No instance could be reached. */
    public static final int UNREACHABLE = 4;

    private ExitCode() {}
}
