package org.rattanport.connectors.http;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.EventListener;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * Makes HTTP calls on the calling task. Nothing is retried here, and every failure says whether a
 * byte of the request may have left.
 */
public final class HttpCaller {
    public static final MediaType JSON = MediaType.get("application/json; charset=utf-8");

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final int IDLE_CONNECTIONS = 256;
    private static final long IDLE_SECONDS = 30;

    private final OkHttpClient mClient;
    private final TimeSource mTime;

    public HttpCaller(TimeSource time) {
        mTime = time;
        mClient =
                new OkHttpClient.Builder()
                        .retryOnConnectionFailure(false)
                        .socketFactory(new NoDelaySocketFactory())
                        .followRedirects(false)
                        .protocols(List.of(Protocol.HTTP_1_1))
                        .connectTimeout(CONNECT_TIMEOUT)
                        .readTimeout(Duration.ZERO)
                        .writeTimeout(Duration.ZERO)
                        .connectionPool(
                                new ConnectionPool(
                                        IDLE_CONNECTIONS, IDLE_SECONDS, TimeUnit.SECONDS))
                        .eventListener(new SendListener())
                        .build();
    }

    /** Prepares a call that ends by the deadline, the reading of its body included. */
    public Call prepare(Request.Builder request, Deadline deadline) {
        Request marked = request.tag(SendMark.class, new SendMark()).build();
        Call call = mClient.newCall(marked);
        long nanos = Math.max(1, deadline.remaining(mTime).toNanos());
        call.timeout().timeout(nanos, TimeUnit.NANOSECONDS);
        return call;
    }

    /** Sends the request and reads the head of the answer. */
    public Response execute(Call call) {
        try {
            return call.execute();
        } catch (IOException e) {
            throw failure(call, e);
        } catch (Exception e) {
            throw undeclared(call, e);
        }
    }

    /** The client is written in Kotlin and throws InterruptedException without declaring it. */
    private RuntimeException undeclared(Call call, Exception error) {
        if (error instanceof InterruptedException) {
            Thread.currentThread().interrupt();
            return failure(call, new InterruptedIOException("interrupted while connecting"));
        }
        return error instanceof RuntimeException unchecked
                ? unchecked
                : new IllegalStateException(error);
    }

    /** Sends the request and reads the whole answer. */
    public HttpAnswer exchange(Request.Builder request, Deadline deadline) {
        Call call = prepare(request, deadline);
        try (Response response = execute(call)) {
            return new HttpAnswer(
                    response.code(),
                    response.body().bytes(),
                    java.util.Optional.ofNullable(response.header("ETag")));
        } catch (IOException e) {
            throw failure(call, e);
        }
    }

    /** Describes a failure of the call, also one while its answer was read. */
    public HttpFailure failure(Call call, IOException error) {
        SendMark mark = call.request().tag(SendMark.class);
        boolean isSent = mark == null || mark.isSent();
        return new HttpFailure(
                isSent ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN,
                error instanceof InterruptedIOException,
                error);
    }

    public static RequestBody json(Object value) {
        return RequestBody.create(
                org.rattanport.connectors.json.Json.write(value)
                        .getBytes(java.nio.charset.StandardCharsets.UTF_8),
                JSON);
    }

    /** Closes idle connections. */
    public void close() {
        mClient.connectionPool().evictAll();
        mClient.dispatcher().executorService().shutdown();
    }

    private static final class SendListener extends EventListener {
        @Override
        public void requestHeadersStart(Call call) {
            SendMark mark = call.request().tag(SendMark.class);
            if (mark != null) {
                mark.sent();
            }
        }
    }
}
