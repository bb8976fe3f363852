package org.rattanport.connectors.json;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/** JSON mappers and helpers: strict JSON for messages, JSON with comments for operators' files. */
public final class Json {
    /** Maximum length of a string in characters; prompts are the longest strings. */
    public static final int MAX_STRING_CHARACTERS = 16 * 1024 * 1024;

    /** Mapper for messages and stored rows; it accepts strict JSON only. */
    public static final JsonMapper MAPPER = newMapper();

    /** Mapper for settings and environment documents; it accepts comments and trailing commas. */
    public static final JsonMapper COMMENTED_MAPPER =
            newMapper()
                    .rebuild()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .build();

    private Json() {}

    private static JsonMapper newMapper() {
        JsonMapper mapper =
                JsonMapper.builder()
                        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                        .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
                        .serializationInclusion(JsonInclude.Include.NON_NULL)
                        .build();
        mapper.getFactory()
                .setStreamReadConstraints(
                        StreamReadConstraints.builder()
                                .maxStringLength(MAX_STRING_CHARACTERS)
                                .build());
        return mapper;
    }

    public static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    /**
     * Parses a message.
     *
     * @throws RattanportException {@code INVALID_REQUEST} when the body is not one JSON object
     */
    public static JsonNode parseObject(byte[] body) {
        try {
            JsonNode node = MAPPER.readTree(body);
            if (node == null || !node.isObject()) {
                throw new RattanportException(
                        ErrorCode.INVALID_REQUEST, "the body must be a JSON object");
            }
            return node;
        } catch (JsonProcessingException e) {
            throw invalid("the body is not valid JSON: " + describeError(e), e);
        } catch (java.io.IOException e) {
            throw invalid("the body cannot be read", e);
        }
    }

    /** Serializes a value as a string of one line. */
    public static String toJsonString(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw RattanportException.builder(ErrorCode.INTERNAL, "cannot write JSON")
                    .cause(e)
                    .build();
        }
    }

    /** Serializes a value as UTF-8 bytes. */
    public static byte[] toJsonBytes(Object value) {
        return toJsonString(value).getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the message and the location of a syntax error, without an excerpt of the source. */
    public static String describeError(JsonProcessingException error) {
        var location = error.getLocation();
        String suffix =
                location == null
                        ? ""
                        : " (line "
                                + location.getLineNr()
                                + ", column "
                                + location.getColumnNr()
                                + ")";
        return error.getOriginalMessage() + suffix;
    }

    private static RattanportException invalid(String message, Exception cause) {
        return RattanportException.builder(ErrorCode.INVALID_REQUEST, message).cause(cause).build();
    }
}
