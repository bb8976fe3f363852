package org.rattanport.connectors.json;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** Line of each field of a JSON text, by its path. */
final class LineIndex {
    private final Map<String, Integer> mLines = new HashMap<>();

    LineIndex(String text) throws IOException {
        try (JsonParser parser = Json.COMMENTED.createParser(text)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                mLines.putIfAbsent(
                        parser.getParsingContext().pathAsPointer().toString(),
                        parser.currentTokenLocation().getLineNr());
            }
        }
    }

    /** Line of the value at the pointer, or of the closest value around it. */
    int line(String pointer) {
        String at = pointer;
        while (!at.isEmpty() && !mLines.containsKey(at)) {
            at = at.substring(0, at.lastIndexOf('/'));
        }
        return mLines.getOrDefault(at, 1);
    }
}
