package org.rattanport.connectors.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.rattanport.connectors.json.Json;

/** A whole answer to an HTTP call. */
public record HttpAnswer(int status, byte[] body, Optional<String> entityTag) {
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    public JsonNode json() {
        return Json.parseObject(body);
    }

    /** Code in an error body of the common shape, or an empty text. */
    public String errorCode() {
        try {
            return json().path("error").path("code").asText("");
        } catch (org.rattanport.kernel.error.RattanportException e) {
            return "";
        }
    }
}
