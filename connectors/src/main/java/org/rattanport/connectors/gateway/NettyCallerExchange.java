package org.rattanport.connectors.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.OptionalInt;
import java.util.function.BooleanSupplier;
import org.rattanport.connectors.http.HttpChannel;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.gateway.CallerExchange;
import org.rattanport.kernel.gateway.Header;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.gateway.ResponseWriter;
import org.rattanport.kernel.gateway.UnansweredExchange;
import org.rattanport.kernel.task.Cancellation;

/** Starts the response to one request on a caller's connection. */
final class NettyCallerExchange implements CallerExchange {
    /** Time for which a caller may leave its response unread. */
    private static final Duration MAX_WRITE_STALL = Duration.ofSeconds(10);

    /** Longest response without a known length that is held for an HTTP/1.0 caller. */
    private static final int MAX_HELD_BYTES = 1_048_576;

    private final Cancellation mCutSignal = new Cancellation();
    private final HttpChannel mChannel;
    private final boolean mHasNoBody;
    private final boolean mSupportsChunked;
    private final BooleanSupplier mMustClose;
    private boolean mClosesConnection;
    private UnansweredExchange.State mState = UnansweredExchange.State.READING;
    private boolean mIsHeld;
    private boolean mIsAborted;

    NettyCallerExchange(
            HttpChannel channel,
            BooleanSupplier mustClose,
            boolean hasNoBody,
            boolean supportsChunked) {
        mChannel = channel;
        mMustClose = mustClose;
        mHasNoBody = hasNoBody;
        mSupportsChunked = supportsChunked;
    }

    /** Whether the connection is closed after this response. */
    boolean closesConnection() {
        return mClosesConnection;
    }

    /** Closes the connection after this response. */
    void closeConnection() {
        mClosesConnection = true;
    }

    /** How far the exchange has come. */
    UnansweredExchange.State state() {
        return mState;
    }

    /** Whether the whole request was read. */
    boolean isRead() {
        return mState != UnansweredExchange.State.READING;
    }

    /** Whether a response may start: the caller is there and has nothing of another one. */
    boolean mayRespond() {
        return mState.compareTo(UnansweredExchange.State.STARTED) < 0
                && !disconnectSignal().isCancelled();
    }

    /** Whether the caller has a whole response. */
    boolean isAnswered() {
        return mState == UnansweredExchange.State.ANSWERED;
    }

    /** Records that the whole request was read. */
    void requestRead() {
        mState = UnansweredExchange.State.UNANSWERED;
    }

    /** Returns why an exchange without a whole response has ended. */
    UnansweredExchange.Cause causeOfEnd() {
        if (mCutSignal.isCancelled()) {
            return UnansweredExchange.Cause.STOPPING;
        }
        if (mIsAborted) {
            return UnansweredExchange.Cause.BROKEN_OFF;
        }
        return disconnectSignal().isCancelled()
                ? UnansweredExchange.Cause.CALLER_GONE
                : UnansweredExchange.Cause.ERROR;
    }

    @Override
    public Cancellation disconnectSignal() {
        return mChannel.disconnection();
    }

    @Override
    public Cancellation cutSignal() {
        return mCutSignal;
    }

    @Override
    public ResponseWriter startResponse(ResponseHead head, OptionalInt length) {
        if (mIsHeld || mState.compareTo(UnansweredExchange.State.STARTED) >= 0) {
            throw new IllegalStateException("a response to this request has already started");
        }
        DefaultHttpResponse response =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(head.status()),
                        DefaultHttpHeadersFactory.headersFactory().withValidation(false));
        HttpHeaders headers = response.headers();
        for (Header each : head.headers()) {
            headers.add(each.name(), each.value());
        }
        mClosesConnection |= mMustClose.getAsBoolean();
        if (mClosesConnection) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (length.isPresent()) {
            headers.setInt(HttpHeaderNames.CONTENT_LENGTH, length.getAsInt());
        } else if (mSupportsChunked) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            mIsHeld = true;
            return new HeldResponse(response);
        }
        return new SentResponse(response);
    }

    /** Starts an error response, in place of one that is held and of which nothing was sent. */
    ResponseWriter startError(ResponseHead head, int length) {
        mIsHeld = false;
        return startResponse(head, OptionalInt.of(length));
    }

    /** Ends the exchange with a reset of the connection. */
    void abort() {
        mClosesConnection = true;
        mIsAborted = true;
        mChannel.reset();
    }

    /** A response that is sent as it comes. */
    private final class SentResponse implements ResponseWriter {
        private SentResponse(HttpResponse head) {
            mState = UnansweredExchange.State.STARTED;
            requireSent(mChannel.write(head, MAX_WRITE_STALL));
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
            requireSent(mChannel.writeLast(LastHttpContent.EMPTY_LAST_CONTENT, MAX_WRITE_STALL));
            mState = UnansweredExchange.State.ANSWERED;
        }

        @Override
        public void abort() {
            NettyCallerExchange.this.abort();
        }
    }

    /**
     * A response that is held until its length is known. A close-delimited one would look complete
     * if this process ended while it is sent.
     */
    private final class HeldResponse implements ResponseWriter {
        private final HttpResponse mHead;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();

        private HeldResponse(HttpResponse head) {
            mHead = head;
        }

        @Override
        public void write(byte[] chunk) {
            if (mBody.size() + chunk.length > MAX_HELD_BYTES) {
                throw cancelled("the response is too long for a caller that cannot read chunks");
            }
            mBody.writeBytes(chunk);
        }

        @Override
        public void finish() {
            mHead.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, mBody.size());
            ResponseWriter response = new SentResponse(mHead);
            response.write(mBody.toByteArray());
            response.finish();
        }

        @Override
        public void abort() {
            // Nothing was sent, so the caller can still get an error.
            mBody.reset();
        }
    }

    private static void requireSent(boolean isSent) {
        if (!isSent) {
            throw cancelled("the caller disconnected or stopped reading the response");
        }
    }

    private static RattanportException cancelled(String reason) {
        return RattanportException.builder(ErrorCode.CANCELLED, reason)
                .verdict(Verdict.MAY_HAVE_RUN)
                .build();
    }
}
