package org.rattanport.benchmark.measure;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanport.connectors.json.Json;
import org.rattanport.daemon.command.CommandOutput;

/** Prints the results of a measurement as a table or as JSON. */
final class ResultPrinter {
    private ResultPrinter() {}

    static void print(ObjectNode results, boolean isJson, CommandOutput output) {
        if (isJson) {
            output.results().println(Json.toJsonString(results));
            return;
        }
        print("", results, output);
    }

    private static void print(String indent, ObjectNode results, CommandOutput output) {
        results.properties()
                .forEach(
                        entry -> {
                            if (entry.getValue() instanceof ObjectNode group) {
                                output.results().println(indent + entry.getKey());
                                print(indent + "  ", group, output);
                            } else {
                                output.results()
                                        .println(line(indent, entry.getKey(), entry.getValue()));
                            }
                        });
    }

    private static String line(String indent, String name, JsonNode value) {
        String text = value.isNumber() ? String.format("%14.3f", value.asDouble()) : value.asText();
        return String.format("%s%-52s %s", indent, name, text);
    }
}
