package org.rattanport.daemon;

import java.io.OutputStream;
import java.util.Locale;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Sets up the logs of a process: lines of names and values that never hold back who writes them.
 */
public final class Logging {
    private static final String PRODUCT = "org.rattanport";

    private static Logger sProduct = Logger.getLogger(PRODUCT);

    private Logging() {}

    /** Replaces the present set-up; lines go to the stream. */
    public static synchronized void configure(OutputStream stream, String level) {
        // JBoss Logging would take any other back end that it finds on the class path.
        System.setProperty("org.jboss.logging.provider", "jdk");
        close();
        LogWriter writer = new LogWriter(stream);
        Logger root = Logger.getLogger("");
        root.setLevel(Level.WARNING);
        root.addHandler(writer);
        sProduct = Logger.getLogger(PRODUCT);
        sProduct.setLevel(level(level));
    }

    /** Writes what waits and ends the log. */
    public static synchronized void close() {
        Logger root = Logger.getLogger("");
        for (Handler each : root.getHandlers()) {
            root.removeHandler(each);
            each.close();
        }
    }

    private static Level level(String name) {
        return switch (name.toUpperCase(Locale.ROOT)) {
            case "DEBUG" -> Level.FINE;
            case "WARN" -> Level.WARNING;
            case "ERROR" -> Level.SEVERE;
            default -> Level.INFO;
        };
    }
}
