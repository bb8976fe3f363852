package org.rattanport.connectors.json;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** Maps JSON pointers of a file to line numbers. */
final class LineIndex {
    private final Map<String, Integer> mLineByPointer = new HashMap<>();

    LineIndex(String json) throws IOException {
        try (JsonParser parser = Json.COMMENTED_MAPPER.createParser(json)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                mLineByPointer.putIfAbsent(
                        parser.getParsingContext().pathAsPointer().toString(),
                        parser.currentTokenLocation().getLineNr());
            }
        }
    }

    /** Returns the line of the value at the pointer, or of its closest enclosing value. */
    int line(String pointer) {
        String ancestor = pointer;
        while (!ancestor.isEmpty() && !mLineByPointer.containsKey(ancestor)) {
            ancestor = ancestor.substring(0, ancestor.lastIndexOf('/'));
        }
        return mLineByPointer.getOrDefault(ancestor, 1);
    }
}
