package org.rattanport.connectors.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/**
 * The body of a chat-completions request.
 *
 * @param model model name
 * @param prompt the messages, joined into one string
 * @param maximumOutputTokens upper limit of the length of the answer
 * @param isStreamed whether the response is a stream of server-sent events
 */
record PromptBody(String model, String prompt, int maximumOutputTokens, boolean isStreamed) {
    private static final int DEFAULT_OUTPUT_TOKENS = 256;

    /** Parses a body; the error names the first invalid field. */
    static PromptBody parse(JsonNode body) {
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
            throw invalid("messages", "must be an array of at least one message");
        }
        return StreamSupport.stream(messages.spliterator(), false)
                .map(PromptBody::formatMessage)
                .collect(Collectors.joining("\n"));
    }

    private static String formatMessage(JsonNode message) {
        JsonNode role = message.path("role");
        if (!role.isTextual()) {
            throw invalid("messages", "must each have a role that is a string");
        }
        return role.asText() + ": " + joinContent(message.path("content"));
    }

    private static String joinContent(JsonNode content) {
        if (content.isTextual()) {
            return content.asText();
        }
        if (content.isArray()) {
            return StreamSupport.stream(content.spliterator(), false)
                    .map(PromptBody::partText)
                    .collect(Collectors.joining());
        }
        throw invalid("messages", "must each have a content that is a string or an array of parts");
    }

    private static String partText(JsonNode part) {
        if (!part.path("type").asText().equals("text") || !part.path("text").isTextual()) {
            throw invalid("messages", "may contain only parts of type text");
        }
        return part.path("text").asText();
    }

    private static int maximumOutputTokens(JsonNode body) {
        String name = body.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
        JsonNode value = body.path(name);
        if (value.isMissingNode() || value.isNull()) {
            return DEFAULT_OUTPUT_TOKENS;
        }
        if (!value.isInt() || value.asInt() < 1) {
            throw invalid(name, "must be an integer of at least 1");
        }
        return value.asInt();
    }

    private static RattanportException invalid(String field, String requirement) {
        return RattanportException.builder(ErrorCode.INVALID_REQUEST, field + " " + requirement)
                .field(field)
                .build();
    }
}
