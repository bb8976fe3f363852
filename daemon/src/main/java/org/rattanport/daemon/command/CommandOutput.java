package org.rattanport.daemon.command;

import java.io.PrintStream;

/** Where a command writes: results and errors. */
public record CommandOutput(PrintStream results, PrintStream errors) {}
