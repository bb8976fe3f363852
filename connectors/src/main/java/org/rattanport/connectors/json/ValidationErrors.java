package org.rattanport.connectors.json;

import java.util.ArrayList;
import java.util.List;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/** Collects the validation errors of a file, so that one exception reports them all. */
final class ValidationErrors {
    private final List<String> mMessages = new ArrayList<>();
    private final LineIndex mLineIndex;

    ValidationErrors(LineIndex lineIndex) {
        mLineIndex = lineIndex;
    }

    void add(String pointer, String message) {
        String path = pointer.isEmpty() ? "/" : pointer;
        mMessages.add("line " + mLineIndex.line(pointer) + ": " + path + " " + message);
    }

    boolean isEmpty() {
        return mMessages.isEmpty();
    }

    /** Throws when there is an error; the message has one line for each error. */
    void throwIfAny(ErrorCode code) {
        if (!mMessages.isEmpty()) {
            throw new RattanportException(code, String.join("\n", mMessages));
        }
    }
}
