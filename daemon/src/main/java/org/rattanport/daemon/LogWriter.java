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
 * Writes log lines in a thread of its own, so that a thread that logs never blocks. When the reader
 * of the stream is too slow and the queue is full, the writer drops and counts lines, and writes
 * the count before the next line.
 */
final class LogWriter extends Handler {
    /** Capacity of the queue; a full queue takes some hundred kilobytes. */
    private static final int MAX_QUEUED_LINES = 2_048;

    /** Time limit for writing the queued lines when the process ends. */
    private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

    private final BlockingQueue<String> mQueue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong mUnreportedDroppedLines = new AtomicLong();
    private final OutputStream mStream;
    private final Thread mThread;
    private volatile boolean mIsClosed;

    LogWriter(OutputStream stream) {
        mStream = stream;
        mThread = Thread.ofVirtual().name("log-writer").start(this::writeQueuedLines);
    }

    @Override
    public void publish(LogRecord record) {
        if (isLoggable(record) && !mQueue.offer(format(record))) {
            mUnreportedDroppedLines.incrementAndGet();
        }
    }

    private static String format(LogRecord record) {
        String source = record.getLoggerName() == null ? "" : record.getLoggerName();
        StringBuilder formatted = new StringBuilder("time=").append(record.getInstant());
        formatted.append(" level=").append(levelName(record.getLevel()));
        formatted.append(" source=").append(source.substring(source.lastIndexOf('.') + 1));
        formatted.append(' ').append(formatMessage(record.getMessage())).append('\n');
        if (record.getThrown() != null) {
            StringWriter trace = new StringWriter();
            record.getThrown().printStackTrace(new PrintWriter(trace, true));
            formatted.append(trace);
        }
        return formatted.toString();
    }

    /** Returns a message that starts with its event unchanged, and any other as a quoted value. */
    private static String formatMessage(String message) {
        return message.startsWith("event=")
                ? message
                : "message=\"" + message.replace('"', '\'').replace('\n', ' ') + '"';
    }

    private static String levelName(Level level) {
        if (level.intValue() >= Level.SEVERE.intValue()) {
            return "ERROR";
        }
        if (level.intValue() >= Level.WARNING.intValue()) {
            return "WARN";
        }
        return level.intValue() >= Level.INFO.intValue() ? "INFO" : "DEBUG";
    }

    private void writeQueuedLines() {
        try {
            while (!mIsClosed || !mQueue.isEmpty()) {
                String line = mQueue.take();
                if (!line.isEmpty()) {
                    write(line);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // The stream cannot be written, so the log cannot report this error either.
            mIsClosed = true;
        }
    }

    private void write(String line) throws IOException {
        long dropped = mUnreportedDroppedLines.getAndSet(0);
        String lines =
                dropped == 0 ? line : "event=log-lines-dropped count=" + dropped + '\n' + line;
        mStream.write(lines.getBytes(StandardCharsets.UTF_8));
        mStream.flush();
    }

    /** Returns the number of dropped lines that the log does not report yet. */
    long unreportedDroppedLines() {
        return mUnreportedDroppedLines.get();
    }

    @Override
    public void flush() {
        // The thread flushes the stream after each line.
    }

    @Override
    public void close() {
        mIsClosed = true;
        // An empty line ends the wait of the thread on an empty queue. If the queue is full,
        // the offer fails, but the thread does not wait then.
        mQueue.offer("");
        try {
            mThread.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
