package org.rattanport.connectors.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.util.function.Function;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/** Reads a JSON text with comments that consists of one object, and reports all its faults. */
final class CommentedFile {
    private CommentedFile() {}

    static <T> T read(String text, ErrorCode code, Function<Fields, T> read) {
        try {
            var node = Json.COMMENTED.readTree(text);
            Faults faults = new Faults(new LineIndex(text));
            Fields fields = new Fields(node, "", faults);
            T value = read.apply(fields);
            fields.finish();
            faults.throwIfAny(code);
            return value;
        } catch (JsonProcessingException e) {
            throw RattanportException.builder(code, "not valid JSON: " + Json.describe(e))
                    .cause(e)
                    .build();
        } catch (IOException e) {
            throw RattanportException.builder(code, "cannot be read").cause(e).build();
        }
    }
}
