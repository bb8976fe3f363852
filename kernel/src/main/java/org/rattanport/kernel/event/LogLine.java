package org.rattanport.kernel.event;

import org.jspecify.annotations.Nullable;

/** One line of the log: an event and its fields, as names and values that can be searched for. */
public final class LogLine {
    private static final String QUOTED = " \"=\n\r\t";

    private final StringBuilder mText = new StringBuilder("event=");

    private LogLine(String event) {
        mText.append(event);
    }

    public static LogLine of(String event) {
        return new LogLine(event);
    }

    /** Adds a field; values with spaces are quoted. */
    public LogLine with(String name, @Nullable Object value) {
        String text = String.valueOf(value);
        mText.append(' ').append(name).append('=');
        if (text.isEmpty() || text.chars().anyMatch(each -> QUOTED.indexOf(each) >= 0)) {
            mText.append('"').append(text.replace('"', '\'').replaceAll("\\s", " ")).append('"');
        } else {
            mText.append(text);
        }
        return this;
    }

    @Override
    public String toString() {
        return mText.toString();
    }
}
