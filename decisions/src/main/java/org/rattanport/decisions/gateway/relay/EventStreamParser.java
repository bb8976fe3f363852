package org.rattanport.decisions.gateway.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Splits the bytes of an event stream into complete events and buffers an incomplete last one. */
public final class EventStreamParser {
    /** One event with its closing blank line and its id, if it has one. */
    public record Event(byte[] bytes, Optional<String> id) {
        /** The id as a number; empty unless it has 1 to 18 digits. */
        public OptionalLong number() {
            return id.map(EventStreamParser::number).orElse(OptionalLong.empty());
        }

        /** Whether the event has no field, as the comments that keep a connection alive. */
        public boolean isComment() {
            return id.isEmpty()
                    && new String(bytes, StandardCharsets.UTF_8)
                            .lines()
                            .allMatch(line -> line.isEmpty() || line.startsWith(COMMENT));
        }
    }

    private static final int MAX_NUMBER_DIGITS = 18;
    private static final String ID_FIELD = "id:";
    private static final String COMMENT = ":";

    private final ByteAccumulator mPending = new ByteAccumulator();

    /** Appends bytes and returns the events that they complete. */
    public List<Event> feed(byte[] chunk) {
        List<Event> events = new ArrayList<>();
        for (byte each : chunk) {
            mPending.add(each);
            if (each == '\n' && endsWithBlankLine()) {
                byte[] bytes = mPending.drain();
                events.add(new Event(bytes, id(bytes)));
            }
        }
        return events;
    }

    /** Bytes after the last complete event. */
    public byte[] remainder() {
        return mPending.toArray();
    }

    /** Number of bytes after the last complete event. */
    public int pendingBytes() {
        return mPending.size();
    }

    /**
     * Whether a part of an event follows the last complete one; line ends do not begin an event.
     */
    public boolean isInsideEvent() {
        for (byte each : mPending.toArray()) {
            if (each != '\n' && each != '\r') {
                return true;
            }
        }
        return false;
    }

    private boolean endsWithBlankLine() {
        return mPending.endsWith((byte) '\n', (byte) '\n')
                || mPending.endsWith((byte) '\n', (byte) '\r', (byte) '\n');
    }

    static OptionalLong number(String id) {
        boolean isNumber =
                !id.isEmpty()
                        && id.length() <= MAX_NUMBER_DIGITS
                        && id.chars().allMatch(Character::isDigit);
        return isNumber ? OptionalLong.of(Long.parseLong(id)) : OptionalLong.empty();
    }

    private static Optional<String> id(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith(ID_FIELD))
                .map(line -> line.substring(ID_FIELD.length()).strip())
                .findFirst();
    }
}
