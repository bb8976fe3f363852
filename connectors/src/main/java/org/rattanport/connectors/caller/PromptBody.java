package org.rattanport.connectors.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/**
 * A chat-completions request.
 *
 * @param model model name
 * @param prompt the messages as one text
 * @param maximumOutputTokens bound on the answer
 * @param isStreamed whether the answer comes as server-sent events
 */
record PromptBody(String model, String prompt, int maximumOutputTokens, boolean isStreamed) {
    private static final int STANDARD_OUTPUT_TOKENS = 256;

    /** Reads a body; the error names the first field that is wrong. */
    static PromptBody read(JsonNode body) {
        JsonNode model = body.path("model");
        if (!model.isTextual() || model.asText().isBlank()) {
            throw invalid("model", "must be the name of a model");
        }
        JsonNode stream = body.path("stream");
        if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
            throw invalid("stream", "must be true or false");
        }
        return new PromptBody(
                model.asText(),
                prompt(body.path("messages")),
                maximumOutputTokens(body),
                stream.asBoolean(false));
    }

    private static String prompt(JsonNode messages) {
        if (!messages.isArray() || messages.isEmpty()) {
            throw invalid("messages", "must be a list of at least one message");
        }
        return StreamSupport.stream(messages.spliterator(), false)
                .map(PromptBody::message)
                .collect(Collectors.joining("\n"));
    }

    private static String message(JsonNode message) {
        JsonNode role = message.path("role");
        if (!role.isTextual()) {
            throw invalid("messages", "must each have a role that is a text");
        }
        return role.asText() + ": " + content(message.path("content"));
    }

    private static String content(JsonNode content) {
        if (content.isTextual()) {
            return content.asText();
        }
        if (content.isArray()) {
            return StreamSupport.stream(content.spliterator(), false)
                    .map(PromptBody::part)
                    .collect(Collectors.joining());
        }
        throw invalid("messages", "must each have a content that is a text or a list of parts");
    }

    private static String part(JsonNode part) {
        if (!part.path("type").asText().equals("text") || !part.path("text").isTextual()) {
            throw invalid("messages", "may hold parts of type text only");
        }
        return part.path("text").asText();
    }

    private static int maximumOutputTokens(JsonNode body) {
        String name = body.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
        JsonNode value = body.path(name);
        if (value.isMissingNode() || value.isNull()) {
            return STANDARD_OUTPUT_TOKENS;
        }
        if (!value.isInt() || value.asInt() < 1) {
            throw invalid(name, "must be an integer of at least 1");
        }
        return value.asInt();
    }

    private static RattanportException invalid(String field, String what) {
        return RattanportException.builder(ErrorCode.INVALID_REQUEST, field + " " + what)
                .field(field)
                .build();
    }
}
