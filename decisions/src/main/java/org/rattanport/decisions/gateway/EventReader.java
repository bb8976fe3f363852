package org.rattanport.decisions.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Cuts the bytes of an event stream into whole events. What follows the last one is kept. */
public final class EventReader {
    /** One event with its closing blank line, and its id where it has a numeric one. */
    public record Event(byte[] bytes, Optional<String> id) {
        /** The id as a number. */
        public OptionalLong number() {
            return id.filter(text -> !text.isEmpty() && text.chars().allMatch(Character::isDigit))
                    .filter(text -> text.length() <= LONGEST_NUMBER)
                    .map(text -> OptionalLong.of(Long.parseLong(text)))
                    .orElse(OptionalLong.empty());
        }
    }

    private static final int LONGEST_NUMBER = 18;
    private static final String ID_FIELD = "id:";

    private final GrowingBytes mPending = new GrowingBytes();

    /** Takes bytes and returns the events that they complete. */
    public List<Event> take(byte[] piece) {
        List<Event> events = new ArrayList<>();
        for (byte each : piece) {
            mPending.add(each);
            if (each == '\n' && endsWithBlankLine()) {
                byte[] bytes = mPending.takeAll();
                events.add(new Event(bytes, id(bytes)));
            }
        }
        return events;
    }

    /** Bytes after the last whole event. */
    public byte[] rest() {
        return mPending.toArray();
    }

    private boolean endsWithBlankLine() {
        return mPending.endsWith((byte) '\n', (byte) '\n')
                || mPending.endsWith((byte) '\n', (byte) '\r', (byte) '\n');
    }

    private static Optional<String> id(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith(ID_FIELD))
                .map(line -> line.substring(ID_FIELD.length()).strip())
                .findFirst();
    }
}
