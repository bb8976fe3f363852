package org.rattanport.daemon;

import java.io.OutputStream;
import java.util.Locale;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Configures the log of a process. Log lines are key-value pairs, and a thread that writes one
 * never blocks.
 */
public final class Logging {
    private static final String PRODUCT_LOGGER_NAME = "org.rattanport";

    private static Logger sProductLogger = Logger.getLogger(PRODUCT_LOGGER_NAME);

    private Logging() {}

    /** Replaces the current configuration; lines are written to the stream. */
    public static synchronized void configure(OutputStream stream, String level) {
        // Otherwise JBoss Logging uses any other log provider that it finds on the class path.
        System.setProperty("org.jboss.logging.provider", "jdk");
        close();
        LogWriter handler = new LogWriter(stream);
        Logger root = Logger.getLogger("");
        root.setLevel(Level.WARNING);
        root.addHandler(handler);
        sProductLogger = Logger.getLogger(PRODUCT_LOGGER_NAME);
        sProductLogger.setLevel(parseLevel(level));
    }

    /** Writes the queued lines and closes the log. */
    public static synchronized void close() {
        Logger root = Logger.getLogger("");
        for (Handler each : root.getHandlers()) {
            root.removeHandler(each);
            each.close();
        }
    }

    private static Level parseLevel(String name) {
        return switch (name.toUpperCase(Locale.ROOT)) {
            case "DEBUG" -> Level.FINE;
            case "WARN" -> Level.WARNING;
            case "ERROR" -> Level.SEVERE;
            default -> Level.INFO;
        };
    }
}
