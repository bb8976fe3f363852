package org.rattanport.daemon.command;

import java.io.PrintStream;

/** The streams to which a command writes its results and its errors. */
public record CommandOutput(PrintStream results, PrintStream errors) {}
