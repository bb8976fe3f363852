package org.rattanport.connectors.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.rattanport.connectors.json.Json;

/** A complete HTTP response. */
public record HttpClientResponse(int status, byte[] body, HttpHeaders headers) {
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    public Optional<String> entityTag() {
        return header("ETag");
    }

    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    public JsonNode json() {
        return Json.parseObject(body);
    }

    /** Returns the code of an error body in the common format, or an empty string without one. */
    public String errorCode() {
        try {
            return json().path("error").path("code").asText("");
        } catch (org.rattanport.kernel.error.RattanportException e) {
            return "";
        }
    }
}
