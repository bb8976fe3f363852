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
 * Reads the fields of one JSON object, with type and range checks; what is left over is a fault.
 */
final class Fields {
    private static final JsonNode NOTHING = Json.MAPPER.createObjectNode();

    private final JsonNode mNode;
    private final String mPointer;
    private final Faults mFaults;
    private final Set<String> mRead = new HashSet<>();

    Fields(JsonNode node, String pointer, Faults faults) {
        if (!node.isObject()) {
            faults.add(pointer, "must be an object");
        }
        mNode = node.isObject() ? node : NOTHING;
        mPointer = pointer;
        mFaults = faults;
    }

    String pointer(String name) {
        return mPointer + "/" + name;
    }

    void fault(String name, String message) {
        mFaults.add(pointer(name), message);
    }

    String text(String name) {
        JsonNode value = required(name);
        if (value == null) {
            return "";
        }
        if (!value.isTextual() || value.asText().isBlank()) {
            fault(name, "must be a text that is not blank");
            return "";
        }
        return value.asText();
    }

    String text(String name, String standard) {
        return has(name) ? text(name) : skip(name, standard);
    }

    long integer(String name, long minimum, long maximum) {
        JsonNode value = required(name);
        if (value == null) {
            return minimum;
        }
        if (!value.isIntegralNumber()
                || !value.canConvertToLong()
                || value.asLong() < minimum
                || value.asLong() > maximum) {
            fault(name, "must be an integer from " + minimum + " to " + maximum);
            return minimum;
        }
        return value.asLong();
    }

    long integer(String name, long minimum, long maximum, long standard) {
        return has(name) ? integer(name, minimum, maximum) : skip(name, standard);
    }

    boolean flag(String name) {
        JsonNode value = required(name);
        if (value != null && !value.isBoolean()) {
            fault(name, "must be true or false");
        }
        return value != null && value.asBoolean();
    }

    boolean flag(String name, boolean standard) {
        return has(name) ? flag(name) : skip(name, standard);
    }

    Duration seconds(String name, long minimum, long maximum) {
        return Duration.ofSeconds(integer(name, minimum, maximum));
    }

    Duration millis(String name, long minimum, long maximum, Duration standard) {
        return Duration.ofMillis(integer(name, minimum, maximum, standard.toMillis()));
    }

    /** Reads a list of objects, each with fields of its own. */
    <T> List<T> objects(String name, Function<Fields, T> read) {
        return list(
                name,
                (node, pointer) -> {
                    Fields fields = new Fields(node, pointer, mFaults);
                    T value = read.apply(fields);
                    fields.finish();
                    return value;
                });
    }

    List<String> texts(String name) {
        return list(
                name,
                (node, pointer) -> {
                    if (!node.isTextual()) {
                        mFaults.add(pointer, "must be a text");
                    }
                    return node.asText();
                });
    }

    List<Integer> integers(String name) {
        if (!has(name)) {
            return skip(name, List.of());
        }
        return list(
                name,
                (node, pointer) -> {
                    if (!node.isInt()) {
                        mFaults.add(pointer, "must be an integer");
                    }
                    return node.asInt();
                });
    }

    /** Reads an object; when it is absent, one without fields. */
    <T> T object(String name, Function<Fields, T> read) {
        mRead.add(name);
        Fields fields =
                new Fields(
                        Optional.ofNullable(mNode.get(name)).orElse(NOTHING),
                        pointer(name),
                        mFaults);
        T value = read.apply(fields);
        fields.finish();
        return value;
    }

    /** Reports the fields that nothing has read. */
    void finish() {
        mNode.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!mRead.contains(name)) {
                                fault(name, "is not a known field");
                            }
                        });
    }

    private <T> List<T> list(String name, BiFunction<JsonNode, String, T> read) {
        JsonNode value = required(name);
        List<T> items = new ArrayList<>();
        if (value == null) {
            return items;
        }
        if (!value.isArray()) {
            fault(name, "must be a list");
            return items;
        }
        for (int i = 0; i < value.size(); i++) {
            items.add(read.apply(value.get(i), pointer(name) + "/" + i));
        }
        return items;
    }

    private boolean has(String name) {
        return mNode.has(name);
    }

    private <T> T skip(String name, T standard) {
        mRead.add(name);
        return standard;
    }

    private @org.jspecify.annotations.Nullable JsonNode required(String name) {
        mRead.add(name);
        JsonNode value = mNode.get(name);
        if (value == null) {
            mFaults.add(mPointer, "lacks the field \"" + name + "\"");
        }
        return value;
    }
}
