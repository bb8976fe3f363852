package org.rattanport.daemon;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.LoggerFactory;
import org.slf4j.bridge.SLF4JBridgeHandler;

/** Sets up the logs of a process: text or JSON lines on standard error. */
public final class Logging {
    private static final String PATTERN = "%d{HH:mm:ss.SSS} %-5level %logger{0} %msg%n";

    private Logging() {}

    /** Replaces the present set-up. */
    public static void configure(boolean hasJsonLines, String level) {
        // JBoss Logging would take its log manager or java.util.logging when it finds them.
        System.setProperty("org.jboss.logging.provider", "slf4j");
        SLF4JBridgeHandler.removeHandlersForRootLogger();
        SLF4JBridgeHandler.install();
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        Encoder<ILoggingEvent> encoder = hasJsonLines ? json(context) : text(context);
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder(encoder);
        appender.start();
        var root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.WARN);
        root.addAppender(appender);
        context.getLogger("org.rattanport").setLevel(Level.toLevel(level, Level.INFO));
    }

    private static Encoder<ILoggingEvent> json(LoggerContext context) {
        LogstashEncoder encoder = new LogstashEncoder();
        encoder.setContext(context);
        encoder.start();
        return encoder;
    }

    private static Encoder<ILoggingEvent> text(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(PATTERN);
        encoder.start();
        return encoder;
    }
}
