package org.rattanport.daemon;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Writes log lines from a task of its own. When the reader of the stream falls behind, lines are
 * dropped and counted, and the count is written with the next line that gets through.
 */
final class LogWriter extends Handler {
    /** Lines that wait for the reader; some hundred kilobytes at most. */
    private static final int MOST_WAITING = 2_048;

    /** Time to write what waits when the process ends. */
    private static final long CLOSE_MILLIS = 1_000;

    private final BlockingQueue<String> mLines = new ArrayBlockingQueue<>(MOST_WAITING);
    private final AtomicLong mDropped = new AtomicLong();
    private final OutputStream mStream;
    private final Thread mThread;
    private volatile boolean mIsClosed;

    LogWriter(OutputStream stream) {
        mStream = stream;
        mThread = Thread.ofVirtual().name("log-writer").start(this::run);
    }

    @Override
    public void publish(LogRecord line) {
        if (isLoggable(line) && !mLines.offer(format(line))) {
            mDropped.incrementAndGet();
        }
    }

    private static String format(LogRecord line) {
        String source = line.getLoggerName() == null ? "" : line.getLoggerName();
        StringBuilder text = new StringBuilder("time=").append(line.getInstant());
        text.append(" level=").append(level(line.getLevel()));
        text.append(" source=").append(source.substring(source.lastIndexOf('.') + 1));
        text.append(' ').append(message(line.getMessage())).append('\n');
        if (line.getThrown() != null) {
            StringWriter trace = new StringWriter();
            line.getThrown().printStackTrace(new PrintWriter(trace, true));
            text.append(trace);
        }
        return text.toString();
    }

    /** Lines that name their event are written as they are; plain text becomes a value. */
    private static String message(String message) {
        return message.startsWith("event=")
                ? message
                : "message=\"" + message.replace('"', '\'').replace('\n', ' ') + '"';
    }

    private static String level(Level level) {
        if (level.intValue() >= Level.SEVERE.intValue()) {
            return "ERROR";
        }
        if (level.intValue() >= Level.WARNING.intValue()) {
            return "WARN";
        }
        return level.intValue() >= Level.INFO.intValue() ? "INFO" : "DEBUG";
    }

    private void run() {
        try {
            while (!mIsClosed || !mLines.isEmpty()) {
                String line = mLines.take();
                if (!line.isEmpty()) {
                    write(line);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // Nobody reads the log any more; there is no other place to say so.
            mIsClosed = true;
        }
    }

    private void write(String line) throws IOException {
        long dropped = mDropped.getAndSet(0);
        String text =
                dropped == 0 ? line : "event=log-lines-dropped count=" + dropped + '\n' + line;
        mStream.write(text.getBytes(StandardCharsets.UTF_8));
        mStream.flush();
    }

    /** Lines that were not written and not told of yet. */
    long dropped() {
        return mDropped.get();
    }

    @Override
    public void flush() {
        // The task writes each line at once.
    }

    @Override
    public void close() {
        mIsClosed = true;
        // Wakes the task where no line waits; where some do, it does not wait itself.
        mLines.offer("");
        try {
            mThread.join(CLOSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
