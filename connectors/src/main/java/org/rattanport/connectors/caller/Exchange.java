package org.rattanport.connectors.caller;

import com.fasterxml.jackson.databind.JsonNode;
import io.helidon.http.HeaderNames;
import io.helidon.webserver.http.ServerRequest;
import io.helidon.webserver.http.ServerResponse;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/** One request on the caller port and its answer. */
public final class Exchange {
    private static final String JSON_TYPE = "application/json";
    private static final String EVENTS_TYPE = "text/event-stream";
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    private final ServerRequest mRequest;
    private final ServerResponse mResponse;
    private boolean mIsAnswered;

    Exchange(ServerRequest request, ServerResponse response) {
        mRequest = request;
        mResponse = response;
    }

    public Optional<String> header(String name) {
        return mRequest.headers().first(HeaderNames.create(name));
    }

    public Optional<String> query(String name) {
        return mRequest.query().first(name).asOptional();
    }

    public String pathParameter(String name) {
        return mRequest.path().pathParameters().get(name);
    }

    /**
     * Reads the body.
     *
     * @throws RattanportException {@code BODY_TOO_LARGE} when it is longer than the limit
     */
    public byte[] body(int limitBytes) {
        if (!mRequest.content().hasEntity()) {
            return new byte[0];
        }
        try (InputStream input = mRequest.content().inputStream()) {
            byte[] body = input.readNBytes(limitBytes + 1);
            if (body.length > limitBytes) {
                skipSome(input);
                throw new RattanportException(
                        ErrorCode.BODY_TOO_LARGE,
                        "the body has more than " + limitBytes + " bytes");
            }
            return body;
        } catch (IOException | java.io.UncheckedIOException e) {
            throw RattanportException.builder(
                            ErrorCode.INVALID_REQUEST, "the body broke off before its end")
                    .cause(e)
                    .build();
        }
    }

    /** Lets a caller that still sends read the refusal, within a bound. */
    private static void skipSome(InputStream input) throws IOException {
        byte[] buffer = new byte[READ_BUFFER_BYTES];
        long left = 64L * 1024 * 1024;
        int read = input.read(buffer);
        while (read > 0 && left > 0) {
            left -= read;
            read = input.read(buffer);
        }
    }

    public JsonNode jsonBody(int limitBytes) {
        return Json.parseObject(body(limitBytes));
    }

    public Exchange answerHeader(String name, String value) {
        mResponse.header(HeaderNames.create(name), value);
        return this;
    }

    public void answer(int status, Object json) {
        answer(status, JSON_TYPE, Json.write(json).getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a whole answer. */
    public void answer(int status, String contentType, byte[] body) {
        mIsAnswered = true;
        mResponse.status(status);
        mResponse.header(HeaderNames.CONTENT_TYPE, contentType);
        mResponse.send(body);
    }

    /** Opens a stream of server-sent events; the status is sent with the first bytes. */
    public OutputStream openEvents() {
        mIsAnswered = true;
        mResponse.header(HeaderNames.CONTENT_TYPE, EVENTS_TYPE);
        mResponse.header(HeaderNames.CACHE_CONTROL, "no-store");
        return mResponse.outputStream();
    }

    /** Whether an answer has begun, so that no other one can be sent. */
    boolean isAnswered() {
        return mIsAnswered;
    }
}
