package org.rattanport.connectors.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.Optional;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.task.Cancellation;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Sends HTTP requests on the calling task. This class never retries, and the verdict of every
 * failure says whether a byte of the request may have been sent.
 */
public final class HttpClient implements AutoCloseable {
    /** A reachable server accepts within some round trips; a lost packet costs one second. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    /** Stores send at most some megabytes of rows, as text. */
    private static final int DEFAULT_MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

    private final HttpTransport mTransport;
    private final TimeSource mTime;
    private final Optional<IdleConnectionPool> mPool;
    private final int mMaxResponseBytes;

    private HttpClient(
            HttpTransport transport,
            TimeSource time,
            Optional<IdleConnectionPool> pool,
            int maxResponseBytes) {
        mTransport = transport;
        mTime = time;
        mPool = pool;
        mMaxResponseBytes = maxResponseBytes;
    }

    /** Opens a new connection for each request, so that none uses one that broke unnoticed. */
    public static HttpClient withoutConnectionPool(HttpTransport transport, TimeSource time) {
        return new HttpClient(transport, time, Optional.empty(), DEFAULT_MAX_RESPONSE_BYTES);
    }

    /** Reuses a connection after a complete response. */
    public static HttpClient withConnectionPool(HttpTransport transport, TimeSource time) {
        return new HttpClient(
                transport,
                time,
                Optional.of(new IdleConnectionPool(time)),
                DEFAULT_MAX_RESPONSE_BYTES);
    }

    /** Returns a client that reads no response above the limit, and shares the connections. */
    public HttpClient withMaxResponseBytes(int maxResponseBytes) {
        return new HttpClient(mTransport, mTime, mPool, maxResponseBytes);
    }

    /**
     * Sends the request and reads the complete response.
     *
     * @throws RattanportException {@code TARGET_FAILED}, also for a response that is too long, or
     *     {@code DEADLINE_EXCEEDED}
     */
    public HttpClientResponse execute(HttpClientRequest request, Deadline deadline) {
        try (HttpResponseStream stream = executeStreaming(request, deadline, new Cancellation())) {
            return stream.readAll();
        }
    }

    /**
     * Sends the request and reads the head of the response.
     *
     * @throws RattanportException {@code TARGET_FAILED}, {@code DEADLINE_EXCEEDED}, or {@code
     *     CANCELLED} when the request was cancelled meanwhile
     */
    public HttpResponseStream executeStreaming(
            HttpClientRequest request, Deadline deadline, Cancellation cancellation) {
        HttpChannel channel = connect(request.address(), deadline);
        channel.writeAsync(encode(request));
        HttpResponseStream stream =
                new HttpResponseStream(channel, deadline, mTime, cancellation, mMaxResponseBytes);
        try {
            stream.readHead();
        } catch (RattanportException e) {
            stream.close();
            throw e;
        }
        mPool.ifPresent(pool -> stream.onComplete(() -> pool.release(request.address(), channel)));
        return stream;
    }

    private HttpChannel connect(String address, Deadline deadline) {
        Optional<HttpChannel> pooled = mPool.flatMap(pool -> pool.acquire(address));
        if (pooled.isPresent()) {
            return pooled.get();
        }
        Duration timeout = deadline.within(mTime, CONNECT_TIMEOUT).remaining(mTime);
        if (timeout.isZero()) {
            throw RattanportException.builder(
                            ErrorCode.DEADLINE_EXCEEDED,
                            "the deadline passed before the connection was opened")
                    .verdict(Verdict.NOT_RUN)
                    .build();
        }
        return mTransport.connect(address, timeout);
    }

    private static FullHttpRequest encode(HttpClientRequest request) {
        FullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(request.method()),
                        request.requestTarget(),
                        Unpooled.wrappedBuffer(request.body()));
        message.headers().set(HttpHeaderNames.HOST, request.address());
        request.headers().forEach(each -> message.headers().add(each.name(), each.value()));
        boolean hasBody = !request.method().equals("GET") && !request.method().equals("DELETE");
        if (hasBody) {
            message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        return message;
    }

    /** Closes the idle connections. */
    @Override
    public void close() {
        mPool.ifPresent(IdleConnectionPool::close);
    }
}
