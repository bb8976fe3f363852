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
import org.rattanport.kernel.gateway.CallerExchange;
import org.rattanport.kernel.gateway.Header;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.task.Cancellation;

/** Writes the response to one request on a caller's connection. */
final class NettyCallerExchange implements CallerExchange {
    /** Time for which a caller may leave its response unread. */
    private static final Duration MAX_WRITE_STALL = Duration.ofSeconds(10);

    private final HttpChannel mChannel;
    private final boolean mHasNoBody;
    private final boolean mSupportsChunked;
    private boolean mClosesConnection;
    private boolean mIsFramed;

    NettyCallerExchange(
            HttpChannel channel,
            boolean closesConnection,
            boolean hasNoBody,
            boolean supportsChunked) {
        mChannel = channel;
        mClosesConnection = closesConnection;
        mHasNoBody = hasNoBody;
        mSupportsChunked = supportsChunked;
    }

    /** Whether the connection is closed after this response. */
    boolean closesConnection() {
        return mClosesConnection;
    }

    @Override
    public Cancellation disconnectSignal() {
        return mChannel.disconnection();
    }

    @Override
    public void startResponse(ResponseHead head, OptionalInt length) {
        DefaultHttpResponse response =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(head.status()),
                        DefaultHttpHeadersFactory.headersFactory().withValidation(false));
        HttpHeaders headers = response.headers();
        for (Header each : head.headers()) {
            headers.add(each.name(), each.value());
        }
        setFramingHeaders(headers, head, length);
        if (mClosesConnection) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        requireSent(mChannel.write(response, MAX_WRITE_STALL));
    }

    private void setFramingHeaders(HttpHeaders headers, ResponseHead head, OptionalInt length) {
        mIsFramed = !head.isCloseDelimited() && (length.isPresent() || mSupportsChunked);
        if (!mIsFramed) {
            mClosesConnection = true;
        } else if (length.isPresent()) {
            headers.setInt(HttpHeaderNames.CONTENT_LENGTH, length.getAsInt());
        } else {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
    }

    @Override
    public void write(byte[] chunk) {
        if (chunk.length > 0 && !mHasNoBody) {
            requireSent(
                    mChannel.write(
                            new DefaultHttpContent(Unpooled.wrappedBuffer(chunk)),
                            MAX_WRITE_STALL));
        }
    }

    @Override
    public void finish() {
        mChannel.writeAsync(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    @Override
    public void abort() {
        mClosesConnection = true;
        if (!mIsFramed) {
            // Without a length or chunks, the end of the connection marks the end of the body. An
            // orderly close would make the truncated response look complete; a reset does not.
            mChannel.reset();
            return;
        }
        mChannel.close();
    }

    private static void requireSent(boolean isSent) {
        if (!isSent) {
            throw RattanportException.builder(
                            ErrorCode.CANCELLED,
                            "the caller disconnected or stopped reading the response")
                    .verdict(Verdict.MAY_HAVE_RUN)
                    .build();
        }
    }
}
