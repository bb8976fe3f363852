package org.rattanport.benchmark.measure;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.rattanport.connectors.json.Json;
import org.rattanport.daemon.command.CommandOutput;

/** Prints figures as lines or as JSON. */
final class ResultPrinter {
    private ResultPrinter() {}

    static void print(ObjectNode figures, boolean isJson, CommandOutput output) {
        if (isJson) {
            output.results().println(Json.write(figures));
            return;
        }
        print("", figures, output);
    }

    private static void print(String indent, ObjectNode figures, CommandOutput output) {
        figures.properties()
                .forEach(
                        entry -> {
                            if (entry.getValue() instanceof ObjectNode inner) {
                                output.results().println(indent + entry.getKey());
                                print(indent + "  ", inner, output);
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
