package org.rattanport.connectors.http;

import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.Arrays;
import java.util.function.LongConsumer;
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
     * @param admission is told the size that the body will have, or has so far, before it takes the
     *     memory, and throws to refuse it
     */
    public record Limits(long maxBytes, Duration idleTimeout, LongConsumer admission) {
        /** Limits that admit each body by itself. */
        public Limits(long maxBytes, Duration idleTimeout) {
            this(maxBytes, idleTimeout, bytes -> {});
        }
    }

    /**
     * Reads the body that follows the head.
     *
     * @throws RattanportException {@code BODY_TOO_LARGE}, {@code INVALID_REQUEST}, or {@code
     *     CANCELLED} when the sender disconnects
     */
    public static byte[] read(HttpChannel channel, HttpRequest head, Limits limits) {
        long length = HttpUtil.getContentLength(head, 0L);
        if (length > limits.maxBytes()) {
            throw tooLarge(limits);
        }
        limits.admission().accept(length);
        if (HttpUtil.is100ContinueExpected(head)) {
            channel.writeAsync(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        Buffer body = new Buffer((int) Math.max(0, length), limits);
        while (true) {
            HttpMessagePart part =
                    channel.poll(limits.idleTimeout())
                            .orElseThrow(
                                    () ->
                                            invalidRequest(
                                                    "timed out while waiting for the request"
                                                            + " body"));
            switch (part) {
                case BodyChunk chunk -> body.append(chunk.bytes());
                case End end -> {
                    return body.toArray();
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
        }
    }

    /** A body so far; one of known length needs no other memory than its own. */
    private static final class Buffer {
        private final Limits mLimits;
        private byte[] mBytes;
        private int mSize;

        private Buffer(int length, Limits limits) {
            mBytes = new byte[length];
            mLimits = limits;
        }

        private void append(byte[] chunk) {
            int size = mSize + chunk.length;
            if (size > mLimits.maxBytes()) {
                throw tooLarge(mLimits);
            }
            if (size > mBytes.length) {
                int capacity = Math.max(size, 2 * mBytes.length);
                // Both arrays exist while the bytes are copied.
                mLimits.admission().accept((long) mBytes.length + capacity);
                mBytes = Arrays.copyOf(mBytes, capacity);
            }
            System.arraycopy(chunk, 0, mBytes, mSize, chunk.length);
            mSize = size;
        }

        private byte[] toArray() {
            return mSize == mBytes.length ? mBytes : Arrays.copyOf(mBytes, mSize);
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
