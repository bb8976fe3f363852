package org.rattanport.connectors.http;

import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import org.rattanport.connectors.http.HttpMessagePart.Closed;
import org.rattanport.connectors.http.HttpMessagePart.End;
import org.rattanport.connectors.http.HttpMessagePart.Head;
import org.rattanport.connectors.http.HttpMessagePart.Piece;
import org.rattanport.connectors.http.HttpMessagePart.Spoilt;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;

/** Reads the body of a request whole. */
public final class RequestBody {
    private RequestBody() {}

    /** Most bytes of a body, and the longest pause inside it. */
    public record Limits(long bytes, Duration idle) {}

    /**
     * Reads the body that follows the head.
     *
     * @throws RattanportException {@code BODY_TOO_LARGE}, {@code INVALID_REQUEST}, or {@code
     *     CANCELLED} when the sender left
     */
    public static byte[] read(HttpChannel channel, HttpRequest head, Limits limits) {
        if (HttpUtil.is100ContinueExpected(head)) {
            channel.writeLast(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        if (HttpUtil.getContentLength(head, 0L) > limits.bytes()) {
            throw tooLarge(limits);
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            HttpMessagePart part =
                    channel.take(limits.idle())
                            .orElseThrow(() -> invalid("the body did not come in time"));
            switch (part) {
                case Piece piece -> body.writeBytes(piece.bytes());
                case End end -> {
                    return body.toByteArray();
                }
                case Closed closed ->
                        throw new RattanportException(
                                ErrorCode.CANCELLED, "the caller left inside its request");
                case Spoilt spoilt -> throw invalid("the body is malformed: " + spoilt.reason());
                case Head other -> throw invalid("a request began inside a request");
            }
            if (body.size() > limits.bytes()) {
                throw tooLarge(limits);
            }
        }
    }

    private static RattanportException invalid(String reason) {
        return new RattanportException(ErrorCode.INVALID_REQUEST, reason);
    }

    private static RattanportException tooLarge(Limits limits) {
        return new RattanportException(
                ErrorCode.BODY_TOO_LARGE, "a body may have " + limits.bytes() + " bytes");
    }
}
