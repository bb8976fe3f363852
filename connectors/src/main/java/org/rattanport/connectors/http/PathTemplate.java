package org.rattanport.connectors.http;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** A path in which <code>{name}</code> matches any one segment. */
record PathTemplate(String template) {
    /** Returns the values of the parameters by name, if the path matches. */
    Optional<Map<String, String>> match(String path) {
        String[] expected = template.split("/", -1);
        String[] actual = path.split("/", -1);
        if (expected.length != actual.length) {
            return Optional.empty();
        }
        Map<String, String> parameters = new HashMap<>();
        for (int i = 0; i < expected.length; i++) {
            boolean isParameter = expected[i].startsWith("{") && expected[i].endsWith("}");
            if (isParameter && !actual[i].isEmpty()) {
                parameters.put(expected[i].substring(1, expected[i].length() - 1), actual[i]);
            } else if (!expected[i].equals(actual[i])) {
                return Optional.empty();
            }
        }
        return Optional.of(parameters);
    }
}
