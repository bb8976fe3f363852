package org.rattanport.connectors.http;

import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import org.rattanport.connectors.http.HttpMessagePart.BodyChunk;
import org.rattanport.connectors.http.HttpMessagePart.Closed;
import org.rattanport.connectors.http.HttpMessagePart.End;
import org.rattanport.connectors.http.HttpMessagePart.Head;
import org.rattanport.connectors.http.HttpMessagePart.Malformed;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/** Reads complete request bodies. */
public final class RequestBody {
    private RequestBody() {}

    /**
     * Limits of a body.
     *
     * @param idleTimeout longest gap between two chunks
     */
    public record Limits(long maxBytes, Duration idleTimeout) {}

    /**
     * Reads the body that follows the head.
     *
     * @throws RattanportException {@code BODY_TOO_LARGE}, {@code INVALID_REQUEST}, or {@code
     *     CANCELLED} when the sender disconnects
     */
    public static byte[] read(HttpChannel channel, HttpRequest head, Limits limits) {
        if (HttpUtil.is100ContinueExpected(head)) {
            channel.writeAsync(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        if (HttpUtil.getContentLength(head, 0L) > limits.maxBytes()) {
            throw tooLarge(limits);
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            HttpMessagePart part =
                    channel.poll(limits.idleTimeout())
                            .orElseThrow(
                                    () ->
                                            invalidRequest(
                                                    "timed out while waiting for the request"
                                                            + " body"));
            switch (part) {
                case BodyChunk chunk -> body.writeBytes(chunk.bytes());
                case End end -> {
                    return body.toByteArray();
                }
                case Closed closed ->
                        throw new RattanportException(
                                ErrorCode.CANCELLED,
                                "the caller disconnected before the end of its request body");
                case Malformed malformed ->
                        throw invalidRequest(
                                "the request body is malformed: " + malformed.reason());
                case Head other ->
                        throw invalidRequest(
                                "another request started before the end of the request body");
            }
            if (body.size() > limits.maxBytes()) {
                throw tooLarge(limits);
            }
        }
    }

    private static RattanportException invalidRequest(String reason) {
        return new RattanportException(ErrorCode.INVALID_REQUEST, reason);
    }

    private static RattanportException tooLarge(Limits limits) {
        return new RattanportException(
                ErrorCode.BODY_TOO_LARGE,
                "the request body exceeds the limit of " + limits.maxBytes() + " bytes");
    }
}
