package org.rattanport.kernel.event;

import org.jspecify.annotations.Nullable;

/** A structured log line: the event name and its fields as {@code name=value} pairs. */
public final class LogLine {
    private static final String QUOTED_CHARACTERS = " \"=\n\r\t";

    private final StringBuilder mText = new StringBuilder("event=");

    private LogLine(String event) {
        mText.append(event);
    }

    public static LogLine of(String event) {
        return new LogLine(event);
    }

    /** Adds a field. Empty values and values with whitespace, quotes or equals signs are quoted. */
    public LogLine with(String name, @Nullable Object value) {
        String text = String.valueOf(value);
        mText.append(' ').append(name).append('=');
        if (text.isEmpty() || text.chars().anyMatch(each -> QUOTED_CHARACTERS.indexOf(each) >= 0)) {
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
