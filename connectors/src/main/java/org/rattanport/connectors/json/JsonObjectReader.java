package org.rattanport.connectors.json;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * Reads the fields of one JSON object and checks their types and ranges. Invalid, missing and
 * unknown fields are added to the errors; the reader then returns a substitute value and continues.
 */
final class JsonObjectReader {
    private static final JsonNode EMPTY_OBJECT = Json.MAPPER.createObjectNode();

    private final JsonNode mNode;
    private final String mPointer;
    private final ValidationErrors mErrors;
    private final Set<String> mReadNames = new HashSet<>();

    JsonObjectReader(JsonNode node, String pointer, ValidationErrors errors) {
        if (!node.isObject()) {
            errors.add(pointer, "must be an object");
        }
        mNode = node.isObject() ? node : EMPTY_OBJECT;
        mPointer = pointer;
        mErrors = errors;
    }

    String pointer(String name) {
        return mPointer + "/" + name;
    }

    void addError(String name, String message) {
        mErrors.add(pointer(name), message);
    }

    String string(String name) {
        JsonNode value = requireNode(name);
        if (value == null) {
            return "";
        }
        if (!value.isTextual() || value.asText().isBlank()) {
            addError(name, "must be a non-blank string");
            return "";
        }
        return value.asText();
    }

    String string(String name, String defaultValue) {
        return has(name) ? string(name) : useDefault(name, defaultValue);
    }

    long integer(String name, long minimum, long maximum) {
        JsonNode value = requireNode(name);
        if (value == null) {
            return minimum;
        }
        if (!value.isIntegralNumber()
                || !value.canConvertToLong()
                || value.asLong() < minimum
                || value.asLong() > maximum) {
            addError(name, "must be an integer from " + minimum + " to " + maximum);
            return minimum;
        }
        return value.asLong();
    }

    long integer(String name, long minimum, long maximum, long defaultValue) {
        return has(name) ? integer(name, minimum, maximum) : useDefault(name, defaultValue);
    }

    boolean bool(String name) {
        JsonNode value = requireNode(name);
        if (value != null && !value.isBoolean()) {
            addError(name, "must be true or false");
        }
        return value != null && value.asBoolean();
    }

    boolean bool(String name, boolean defaultValue) {
        return has(name) ? bool(name) : useDefault(name, defaultValue);
    }

    Duration seconds(String name, long minimum, long maximum) {
        return Duration.ofSeconds(integer(name, minimum, maximum));
    }

    Duration millis(String name, long minimum, long maximum, Duration defaultValue) {
        return Duration.ofMillis(integer(name, minimum, maximum, defaultValue.toMillis()));
    }

    /** Reads an array of objects and reports the unknown fields of each object. */
    <T> List<T> objects(String name, Function<JsonObjectReader, T> mapping) {
        return array(
                name,
                (node, pointer) -> {
                    JsonObjectReader object = new JsonObjectReader(node, pointer, mErrors);
                    T value = mapping.apply(object);
                    object.reportUnknownFields();
                    return value;
                });
    }

    List<String> strings(String name) {
        return array(
                name,
                (node, pointer) -> {
                    if (!node.isTextual()) {
                        mErrors.add(pointer, "must be a string");
                    }
                    return node.asText();
                });
    }

    List<Integer> integers(String name) {
        if (!has(name)) {
            return useDefault(name, List.of());
        }
        return array(
                name,
                (node, pointer) -> {
                    if (!node.isInt()) {
                        mErrors.add(pointer, "must be an integer");
                    }
                    return node.asInt();
                });
    }

    /** Reads an object; a missing object is read as one without fields. */
    <T> T object(String name, Function<JsonObjectReader, T> mapping) {
        mReadNames.add(name);
        JsonObjectReader object =
                new JsonObjectReader(
                        Optional.ofNullable(mNode.get(name)).orElse(EMPTY_OBJECT),
                        pointer(name),
                        mErrors);
        T value = mapping.apply(object);
        object.reportUnknownFields();
        return value;
    }

    /** Adds an error for each field that no method has read. */
    void reportUnknownFields() {
        mNode.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!mReadNames.contains(name)) {
                                addError(name, "is not a known field");
                            }
                        });
    }

    private <T> List<T> array(String name, BiFunction<JsonNode, String, T> mapping) {
        JsonNode value = requireNode(name);
        List<T> items = new ArrayList<>();
        if (value == null) {
            return items;
        }
        if (!value.isArray()) {
            addError(name, "must be an array");
            return items;
        }
        for (int i = 0; i < value.size(); i++) {
            items.add(mapping.apply(value.get(i), pointer(name) + "/" + i));
        }
        return items;
    }

    private boolean has(String name) {
        return mNode.has(name);
    }

    private <T> T useDefault(String name, T defaultValue) {
        mReadNames.add(name);
        return defaultValue;
    }

    private @org.jspecify.annotations.Nullable JsonNode requireNode(String name) {
        mReadNames.add(name);
        JsonNode value = mNode.get(name);
        if (value == null) {
            mErrors.add(mPointer, "lacks the field \"" + name + "\"");
        }
        return value;
    }
}
