package org.rattanport.connectors.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.time.Duration;
import java.util.OptionalInt;
import org.rattanport.connectors.http.HttpChannel;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.gateway.AnswerHead;
import org.rattanport.kernel.gateway.CallerExchange;
import org.rattanport.kernel.gateway.Header;
import org.rattanport.kernel.task.Cancellation;

/** Writes the answer to one request on a caller's connection. */
final class NettyCallerExchange implements CallerExchange {
    /** Time that a caller may leave its answer unread. */
    private static final Duration LONGEST_STALL = Duration.ofSeconds(10);

    private final HttpChannel mChannel;
    private final boolean mHasNoBody;
    private final boolean mUnderstandsChunks;
    private boolean mIsLast;
    private boolean mIsFramed;

    NettyCallerExchange(
            HttpChannel channel, boolean isLast, boolean hasNoBody, boolean understandsChunks) {
        mChannel = channel;
        mIsLast = isLast;
        mHasNoBody = hasNoBody;
        mUnderstandsChunks = understandsChunks;
    }

    /** Whether the connection ends with this answer. */
    boolean isLast() {
        return mIsLast;
    }

    @Override
    public Cancellation departure() {
        return mChannel.closing();
    }

    @Override
    public void start(AnswerHead head, OptionalInt length) {
        DefaultHttpResponse response =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(head.status()),
                        DefaultHttpHeadersFactory.headersFactory().withValidation(false));
        HttpHeaders headers = response.headers();
        for (Header each : head.headers()) {
            headers.add(each.name(), each.value());
        }
        frame(headers, head, length);
        if (mIsLast) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        send(mChannel.write(response, LONGEST_STALL));
    }

    private void frame(HttpHeaders headers, AnswerHead head, OptionalInt length) {
        mIsFramed = !head.endsWithConnection() && (length.isPresent() || mUnderstandsChunks);
        if (!mIsFramed) {
            mIsLast = true;
        } else if (length.isPresent()) {
            headers.setInt(HttpHeaderNames.CONTENT_LENGTH, length.getAsInt());
        } else {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
    }

    @Override
    public void write(byte[] piece) {
        if (piece.length > 0 && !mHasNoBody) {
            send(
                    mChannel.write(
                            new DefaultHttpContent(Unpooled.wrappedBuffer(piece)), LONGEST_STALL));
        }
    }

    @Override
    public void finish() {
        mChannel.writeLast(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    @Override
    public void cut() {
        mIsLast = true;
        if (!mIsFramed) {
            // An answer without a length would look complete at an orderly end, so this is a reset.
            mChannel.reset();
            return;
        }
        mChannel.close();
    }

    private static void send(boolean isSent) {
        if (!isSent) {
            throw RattanportException.builder(ErrorCode.CANCELLED, "the caller does not read")
                    .verdict(Verdict.MAY_HAVE_RUN)
                    .build();
        }
    }
}
