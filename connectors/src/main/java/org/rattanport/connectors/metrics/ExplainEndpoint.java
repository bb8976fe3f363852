package org.rattanport.connectors.metrics;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.rattanport.connectors.http.HttpExchange;
import org.rattanport.decisions.gateway.explain.PlacementExplainer;
import org.rattanport.decisions.gateway.explain.PlacementExplanation;
import org.rattanport.decisions.gateway.explain.PlacementQuestion;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.PromptPart;
import org.rattanport.kernel.gateway.PromptSize;

/** Answers operators where a prompt would be placed now. */
final class ExplainEndpoint {
    static final String PATH = "/explain";

    private static final int OK = 200;
    private static final int DEFAULT_OUTPUT_TOKENS = 500;

    private final PlacementExplainer mExplainer;

    ExplainEndpoint(PlacementExplainer explainer) {
        mExplainer = explainer;
    }

    void handle(HttpExchange exchange) {
        List<PlacementExplanation> explanations = mExplainer.explain(question(exchange));
        String output = exchange.queryParameter("output").orElse("text");
        switch (output) {
            case "text" -> exchange.respondText(OK, ExplanationText.format(explanations));
            case "json" -> exchange.respond(OK, ExplanationJson.toJson(explanations));
            default -> throw invalid("output must be text or json");
        }
    }

    private static PlacementQuestion question(HttpExchange exchange) {
        List<PromptPart> parts = parts(exchange.queryParameter("prefix").orElse(""));
        int partTokens = parts.stream().mapToInt(PromptPart::tokens).sum();
        int promptTokens = tokens(exchange, "prompt_tokens").orElse(partTokens);
        if (promptTokens == 0) {
            throw invalid("prompt_tokens or prefix must be given");
        }
        return new PlacementQuestion(
                parameter(exchange, "route").orElseThrow(() -> invalid("route must be given")),
                parameter(exchange, "account"),
                new PromptSize(
                        promptTokens,
                        tokens(exchange, "output_tokens").orElse(DEFAULT_OUTPUT_TOKENS)),
                parts,
                Set.copyOf(entries(exchange.queryParameter("exclude").orElse(""))));
    }

    private static Optional<String> parameter(HttpExchange exchange, String name) {
        return exchange.queryParameter(name).filter(value -> !value.isBlank());
    }

    private static Optional<Integer> tokens(HttpExchange exchange, String name) {
        return parameter(exchange, name).map(value -> tokens(name, value));
    }

    private static int tokens(String name, String value) {
        if (!value.matches("[1-9][0-9]{0,7}")) {
            throw invalid(name + " must be a number of tokens from 1 to 99999999");
        }
        return Integer.parseInt(value);
    }

    private static List<PromptPart> parts(String prefix) {
        List<PromptPart> parts = new ArrayList<>();
        for (String entry : entries(prefix)) {
            int colon = entry.indexOf(':');
            if (colon <= 0) {
                throw invalid("prefix must be a list of ID:TOKENS");
            }
            parts.add(
                    new PromptPart(
                            entry.substring(0, colon),
                            tokens("prefix", entry.substring(colon + 1))));
        }
        return parts;
    }

    private static List<String> entries(String list) {
        return Arrays.stream(list.split(","))
                .map(String::strip)
                .filter(entry -> !entry.isEmpty())
                .collect(Collectors.toList());
    }

    private static RattanportException invalid(String message) {
        return new RattanportException(ErrorCode.INVALID_REQUEST, message);
    }
}
