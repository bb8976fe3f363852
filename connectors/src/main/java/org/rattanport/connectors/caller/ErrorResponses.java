package org.rattanport.connectors.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import org.rattanport.connectors.http.HttpExchange;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;

/** Sends errors in the format of the chat-completions API, with the verdict. */
final class ErrorResponses {
    static final String VERDICT_HEADER = "Rattanport-Verdict";

    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private ErrorResponses() {}

    static void send(HttpExchange exchange, RattanportException error) {
        exchange.addResponseHeader(VERDICT_HEADER, error.verdict().wireName());
        error.retryAfter()
                .ifPresent(
                        delay ->
                                exchange.addResponseHeader(
                                        "Retry-After", Long.toString(roundUpToSeconds(delay))));
        exchange.respond(error.code().httpStatus(), body(error));
    }

    /** Builds the body of an error response; a stream that fails has it as its last event. */
    static ObjectNode body(RattanportException error) {
        ObjectNode root = Json.newObject();
        ObjectNode node = root.putObject("error");
        node.put("message", error.getMessage());
        node.put("type", type(error.code()));
        node.put("code", error.code().wireName());
        node.put("verdict", error.verdict().wireName());
        error.field().ifPresent(field -> node.put("param", field));
        return root;
    }

    /** Wraps an unexpected error; the request may have run, as its progress is unknown. */
    static RattanportException internalError(RuntimeException error) {
        return RattanportException.builder(ErrorCode.INTERNAL, "internal error")
                .verdict(Verdict.MAY_HAVE_RUN)
                .cause(error)
                .build();
    }

    private static String type(ErrorCode code) {
        return code.httpStatus() < MIN_SERVER_ERROR_STATUS
                ? "invalid_request_error"
                : "server_error";
    }

    private static long roundUpToSeconds(Duration duration) {
        return Math.max(1, (duration.toMillis() + 999) / 1000);
    }
}
