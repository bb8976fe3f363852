package org.rattanport.connectors.json;

import java.util.ArrayList;
import java.util.List;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/** Gathers the faults of a file, so that all are reported at once. */
final class Faults {
    private final List<String> mMessages = new ArrayList<>();
    private final LineIndex mLines;

    Faults(LineIndex lines) {
        mLines = lines;
    }

    void add(String pointer, String message) {
        String path = pointer.isEmpty() ? "/" : pointer;
        mMessages.add("line " + mLines.line(pointer) + ": " + path + " " + message);
    }

    boolean isEmpty() {
        return mMessages.isEmpty();
    }

    /** Throws when there is any fault; the message has one line for each. */
    void throwIfAny(ErrorCode code) {
        if (!mMessages.isEmpty()) {
            throw new RattanportException(code, String.join("\n", mMessages));
        }
    }
}
