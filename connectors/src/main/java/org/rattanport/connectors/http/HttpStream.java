package org.rattanport.connectors.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.rattanport.connectors.http.HttpMessagePart.Closed;
import org.rattanport.connectors.http.HttpMessagePart.End;
import org.rattanport.connectors.http.HttpMessagePart.Head;
import org.rattanport.connectors.http.HttpMessagePart.Piece;
import org.rattanport.connectors.http.HttpMessagePart.Spoilt;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/** An answer that is read as it comes, on the task that made the call. */
public final class HttpStream implements AutoCloseable {
    /** Longest answer that is read whole; stores send at most some megabytes of rows, in text. */
    private static final int LONGEST_ANSWER = 64 * 1024 * 1024;

    /** Longest line of a stream of events. */
    private static final int LONGEST_LINE = 1024 * 1024;

    /** The end of an answer comes right behind its last line; a new connection costs more. */
    private static final Duration END_PAUSE = Duration.ofMillis(5);

    private static final int FIRST_FINAL_STATUS = 200;

    private final HttpChannel mChannel;
    private final Deadline mDeadline;
    private final TimeSource mTime;
    private final Cancellation mCancellation;
    private final AutoCloseable mCancelHook;
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();
    private final Deque<String> mLines = new ArrayDeque<>();
    private Optional<HttpResponse> mHead = Optional.empty();
    private Runnable mWhenComplete;
    private boolean mIsComplete;
    private boolean mIsClosed;

    HttpStream(HttpChannel channel, Deadline deadline, TimeSource time, Cancellation cancellation) {
        mChannel = channel;
        mWhenComplete = channel::close;
        mDeadline = deadline;
        mTime = time;
        mCancellation = cancellation;
        mCancelHook = cancellation.onCancel(() -> channel.abort("the call was cancelled"));
    }

    void readHead() {
        while (mHead.isEmpty()) {
            HttpMessagePart part = take();
            if (part instanceof Head head && head.message() instanceof HttpResponse response) {
                if (response.decoderResult().isFailure()) {
                    throw failed("the answer is no HTTP");
                }
                if (response.status().code() >= FIRST_FINAL_STATUS) {
                    mHead = Optional.of(response);
                }
            }
        }
    }

    /** Says what to do with the connection after an answer that came whole. */
    void whenComplete(Runnable action) {
        mWhenComplete = action;
    }

    public int status() {
        return mHead.orElseThrow().status().code();
    }

    public Optional<String> header(String name) {
        return mHead.map(head -> head.headers().get(name));
    }

    /** Reads the next piece of the body; empty at its complete end. */
    public Optional<byte[]> next() {
        if (mIsComplete) {
            return Optional.empty();
        }
        return switch (take()) {
            case Piece piece -> Optional.of(piece.bytes());
            case End end -> {
                mIsComplete = true;
                yield Optional.empty();
            }
            case Head head -> throw failed("another answer came inside the answer");
            case Spoilt spoilt -> throw failed(spoilt.reason());
            case Closed closed -> throw failed(closed.reason());
        };
    }

    /** Reads the next line of a text; empty at the complete end of the answer. */
    public Optional<String> nextLine() {
        while (mLines.isEmpty()) {
            Optional<byte[]> piece = next();
            if (piece.isEmpty()) {
                return Optional.empty();
            }
            splitLines(piece.get());
        }
        return Optional.of(mLines.removeFirst());
    }

    private void splitLines(byte[] piece) {
        int start = 0;
        for (int i = 0; i < piece.length; i++) {
            if (piece[i] == '\n') {
                mLine.write(piece, start, i - start);
                mLines.add(mLine.toString(StandardCharsets.UTF_8).stripTrailing());
                mLine.reset();
                start = i + 1;
            }
        }
        mLine.write(piece, start, piece.length - start);
        if (mLine.size() > LONGEST_LINE) {
            throw failed("a line of the answer is too long");
        }
    }

    /** Reads what is left of the answer. */
    public HttpAnswer readAll() {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (Optional<byte[]> piece = next(); piece.isPresent(); piece = next()) {
            body.writeBytes(piece.get());
            if (body.size() > LONGEST_ANSWER) {
                throw failed("the answer is too long");
            }
        }
        return new HttpAnswer(status(), body.toByteArray(), header("ETag"));
    }

    private HttpMessagePart take() {
        Optional<HttpMessagePart> part;
        try {
            part = mChannel.take(mDeadline.remaining(mTime));
        } catch (RattanportException e) {
            throw e.withVerdict(Verdict.MAY_HAVE_RUN);
        }
        if (mCancellation.isCancelled()) {
            throw error(ErrorCode.CANCELLED, "the call was cancelled");
        }
        if (part.isEmpty()) {
            throw error(ErrorCode.DEADLINE_EXCEEDED, "no answer in time");
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

    /** Keeps the connection after a whole answer, and closes it otherwise. */
    @Override
    public void close() {
        try {
            mCancelHook.close();
        } catch (Exception e) {
            throw new IllegalStateException("removing a cancel hook cannot fail", e);
        }
        if (mIsClosed) {
            return;
        }
        mIsClosed = true;
        if (!hasEnded() || !mHead.map(HttpUtil::isKeepAlive).orElse(false)) {
            mChannel.close();
            return;
        }
        mWhenComplete.run();
    }

    /** Whoever reads lines stops at the last one, before the end of the answer. */
    private boolean hasEnded() {
        if (!mIsComplete && mHead.isPresent() && !mCancellation.isCancelled()) {
            mIsComplete = mChannel.take(END_PAUSE).filter(End.class::isInstance).isPresent();
        }
        return mIsComplete;
    }
}
