package org.rattanport.connectors.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.rattanport.connectors.http.HttpMessagePart.BodyChunk;
import org.rattanport.connectors.http.HttpMessagePart.Closed;
import org.rattanport.connectors.http.HttpMessagePart.End;
import org.rattanport.connectors.http.HttpMessagePart.Head;
import org.rattanport.connectors.http.HttpMessagePart.Malformed;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/** A response that is read while it arrives, on the task that sent the request. */
public final class HttpResponseStream implements AutoCloseable {
    /** Longest line of an event stream. */
    private static final int MAX_LINE_BYTES = 1024 * 1024;

    /**
     * Wait for the end of a response after its last line. The end follows at once, and a new
     * connection costs more than this wait.
     */
    private static final Duration END_TIMEOUT = Duration.ofMillis(5);

    private final HttpChannel mChannel;
    private final Deadline mDeadline;
    private final TimeSource mTime;
    private final Cancellation mCancellation;
    private final int mMaxBytes;
    private final AutoCloseable mCancelAction;
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();
    private final Deque<String> mLines = new ArrayDeque<>();
    private Optional<HttpResponse> mHead = Optional.empty();
    private Runnable mOnComplete;
    private boolean mIsComplete;
    private boolean mIsClosed;

    HttpResponseStream(
            HttpChannel channel,
            Deadline deadline,
            TimeSource time,
            Cancellation cancellation,
            int maxBytes) {
        mChannel = channel;
        mOnComplete = channel::close;
        mDeadline = deadline;
        mTime = time;
        mCancellation = cancellation;
        mMaxBytes = maxBytes;
        mCancelAction = cancellation.onCancel(() -> channel.abort("the request was cancelled"));
    }

    void readHead() {
        ResponseHeadReader reader = new ResponseHeadReader();
        while (mHead.isEmpty()) {
            mHead = reader.accept(nextPart());
        }
    }

    /** Sets the action that takes over the connection after a complete response. */
    void onComplete(Runnable action) {
        mOnComplete = action;
    }

    public int status() {
        return mHead.orElseThrow().status().code();
    }

    public Optional<String> header(String name) {
        return mHead.map(head -> head.headers().get(name));
    }

    /** Reads the next chunk of the body; empty at the end of a complete response. */
    public Optional<byte[]> nextChunk() {
        if (mIsComplete) {
            return Optional.empty();
        }
        return switch (nextPart()) {
            case BodyChunk chunk -> Optional.of(chunk.bytes());
            case End end -> {
                mIsComplete = true;
                yield Optional.empty();
            }
            case Head other ->
                    throw failed("the server started another response inside the response");
            case Malformed malformed -> throw failed(malformed.reason());
            case Closed closed -> throw failed(closed.reason());
        };
    }

    /** Reads the next line; empty at the end of a complete response. */
    public Optional<String> nextLine() {
        while (mLines.isEmpty()) {
            Optional<byte[]> chunk = nextChunk();
            if (chunk.isEmpty()) {
                return Optional.empty();
            }
            splitLines(chunk.get());
        }
        return Optional.of(mLines.removeFirst());
    }

    private void splitLines(byte[] chunk) {
        int start = 0;
        for (int i = 0; i < chunk.length; i++) {
            if (chunk[i] == '\n') {
                mLine.write(chunk, start, i - start);
                mLines.add(mLine.toString(StandardCharsets.UTF_8).stripTrailing());
                mLine.reset();
                start = i + 1;
            }
        }
        mLine.write(chunk, start, chunk.length - start);
        if (mLine.size() > MAX_LINE_BYTES) {
            throw failed("a line of the response is too long");
        }
    }

    /** Reads the rest of the response, which fails if it is longer than the limit of the client. */
    public HttpClientResponse readAll() {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (Optional<byte[]> chunk = nextChunk(); chunk.isPresent(); chunk = nextChunk()) {
            if (body.size() + chunk.get().length > mMaxBytes) {
                throw failed("the response has more than " + mMaxBytes + " bytes");
            }
            body.writeBytes(chunk.get());
        }
        return new HttpClientResponse(status(), body.toByteArray(), mHead.orElseThrow().headers());
    }

    private HttpMessagePart nextPart() {
        Optional<HttpMessagePart> part;
        try {
            part = mChannel.poll(mDeadline.remaining(mTime));
        } catch (RattanportException e) {
            throw e.withVerdict(Verdict.MAY_HAVE_RUN);
        }
        if (mCancellation.isCancelled()) {
            throw error(ErrorCode.CANCELLED, "the request was cancelled");
        }
        if (part.isEmpty()) {
            throw error(
                    ErrorCode.DEADLINE_EXCEEDED, "the response did not arrive before the deadline");
        }
        if (part.get() instanceof Closed closed) {
            throw failed(closed.reason());
        }
        return part.get();
    }

    private static RattanportException failed(String reason) {
        return error(ErrorCode.TARGET_FAILED, reason);
    }

    private static RattanportException error(ErrorCode code, String reason) {
        return RattanportException.builder(code, reason).verdict(Verdict.MAY_HAVE_RUN).build();
    }

    /** Runs the completion action after a complete response; closes the connection otherwise. */
    @Override
    public void close() {
        try {
            mCancelAction.close();
        } catch (Exception e) {
            throw new IllegalStateException("removing a cancellation action cannot fail", e);
        }
        if (mIsClosed) {
            return;
        }
        mIsClosed = true;
        if (!isFullyRead() || !mHead.map(HttpUtil::isKeepAlive).orElse(false)) {
            mChannel.close();
            return;
        }
        mOnComplete.run();
    }

    /** A reader of lines stops at the last one, so the end of the response may still be unread. */
    private boolean isFullyRead() {
        if (!mIsComplete && mHead.isPresent() && !mCancellation.isCancelled()) {
            mIsComplete = mChannel.poll(END_TIMEOUT).filter(End.class::isInstance).isPresent();
        }
        return mIsComplete;
    }
}
