package org.rattanport.daemon.command;

/** Exit codes of the command line. */
public final class ExitCode {
    public static final int SUCCESS = 0;

    /** The command failed, or the instance rejected the request. */
    public static final int FAILED = 1;

    /** The command line is invalid. */
    public static final int USAGE = 2;

    /** A file is missing or invalid. */
    public static final int INVALID_INPUT = 3;

    /** No instance could be reached. */
    public static final int UNREACHABLE = 4;

    private ExitCode() {}
}
