package org.rattanport.connectors.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Optional;
import org.rattanport.connectors.gateway.HttpMessagePart.Closed;
import org.rattanport.connectors.gateway.HttpMessagePart.End;
import org.rattanport.connectors.gateway.HttpMessagePart.Head;
import org.rattanport.connectors.gateway.HttpMessagePart.Piece;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/** Calls with a short answer that is read whole, each on a connection of its own. */
public final class SimpleHttp {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(600);

    /** Longest answer; the store sends at most a megabyte of rows, in text. */
    private static final int LONGEST_ANSWER = 4_194_304;

    /** An answer that was read whole. */
    public record Answer(int status, byte[] body) {}

    private final HttpTransport mTransport;
    private final TimeSource mTime;

    public SimpleHttp(HttpTransport transport, TimeSource time) {
        mTransport = transport;
        mTime = time;
    }

    /** Reads a resource. */
    public Answer get(String address, String target, Deadline deadline) {
        return call(address, HttpMethod.GET, target, new byte[0], deadline);
    }

    /** Posts JSON. */
    public Answer post(String address, String target, byte[] body, Deadline deadline) {
        return call(address, HttpMethod.POST, target, body, deadline);
    }

    private Answer call(
            String address, HttpMethod method, String target, byte[] body, Deadline deadline) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, method, target, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, address);
        if (method.equals(HttpMethod.POST)) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        Duration connecting = deadline.within(mTime, CONNECT_TIMEOUT).remaining(mTime);
        HttpChannel channel = mTransport.connect(address, connecting);
        try {
            channel.writeLast(request);
            return read(channel, deadline);
        } finally {
            channel.close();
        }
    }

    private Answer read(HttpChannel channel, Deadline deadline) {
        int status = 0;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            Optional<HttpMessagePart> part = channel.take(deadline.remaining(mTime));
            if (part.isEmpty()) {
                throw failed(ErrorCode.DEADLINE_EXCEEDED, "no answer in time");
            }
            switch (part.get()) {
                case Head head when head.message() instanceof HttpResponse response ->
                        status = response.status().code();
                case Head other -> throw failed(ErrorCode.TARGET_FAILED, "the answer is no HTTP");
                case Piece piece -> body.writeBytes(piece.bytes());
                case End end -> {
                    return new Answer(status, body.toByteArray());
                }
                case Closed closed -> throw failed(ErrorCode.TARGET_FAILED, closed.reason());
            }
            if (body.size() > LONGEST_ANSWER) {
                throw failed(ErrorCode.TARGET_FAILED, "the answer is too long");
            }
        }
    }

    private static RattanportException failed(ErrorCode code, String reason) {
        return RattanportException.builder(code, reason).verdict(Verdict.MAY_HAVE_RUN).build();
    }
}
