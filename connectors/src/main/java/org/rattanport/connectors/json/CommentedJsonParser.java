package org.rattanport.connectors.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.util.function.Function;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/** Parses a file that holds one JSON object with comments, and reports all its errors at once. */
final class CommentedJsonParser {
    private CommentedJsonParser() {}

    static <T> T parse(String json, ErrorCode code, Function<JsonObjectReader, T> mapping) {
        try {
            var node = Json.COMMENTED_MAPPER.readTree(json);
            ValidationErrors errors = new ValidationErrors(new LineIndex(json));
            JsonObjectReader object = new JsonObjectReader(node, "", errors);
            T value = mapping.apply(object);
            object.reportUnknownFields();
            errors.throwIfAny(code);
            return value;
        } catch (JsonProcessingException e) {
            throw RattanportException.builder(code, "not valid JSON: " + Json.describeError(e))
                    .cause(e)
                    .build();
        } catch (IOException e) {
            throw RattanportException.builder(code, "cannot be read").cause(e).build();
        }
    }
}
