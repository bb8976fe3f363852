package org.rattanport.connectors.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.gateway.Header;

/** One request to a server and its response, used by the task of the connection. */
public final class HttpExchange {
    private static final String EVENT_STREAM_CONTENT_TYPE = "text/event-stream";

    /** Longest gap between two chunks of a request body. */
    private static final Duration BODY_IDLE_TIMEOUT = Duration.ofSeconds(30);

    /**
     * Largest request body that is read and discarded after a response. A caller that is still
     * sending its body reads the response only afterwards.
     */
    private static final long MAX_DISCARDED_BODY_BYTES = 64L * 1024 * 1024;

    /**
     * A caller that reads nothing for this long is considered disconnected; request deadlines are
     * shorter.
     */
    private static final Duration MAX_WRITE_STALL = Duration.ofMinutes(10);

    private final HttpChannel mChannel;
    private final HttpRequest mRequest;
    private final Map<String, List<String>> mQuery;
    private final List<Header> mResponseHeaders = new ArrayList<>();
    private Map<String, String> mPathParameters = Map.of();
    private boolean mIsBodyRead;
    private boolean mIsResponseStarted;
    private boolean mIsAborted;
    private boolean mHasOpenEventStream;
    private boolean mClosesConnection;

    HttpExchange(HttpChannel channel, HttpRequest request, Map<String, List<String>> query) {
        mChannel = channel;
        mRequest = request;
        mQuery = query;
        mClosesConnection = !HttpUtil.isKeepAlive(request);
    }

    void setPathParameters(Map<String, String> parameters) {
        mPathParameters = parameters;
    }

    /** Closes the connection after this response. */
    void closeConnectionAfterResponse() {
        mClosesConnection = true;
    }

    public Optional<String> header(String name) {
        return Optional.ofNullable(mRequest.headers().get(name));
    }

    public Optional<String> queryParameter(String name) {
        return Optional.ofNullable(mQuery.get(name)).map(List::getFirst);
    }

    public String pathParameter(String name) {
        return mPathParameters.getOrDefault(name, "");
    }

    /**
     * Reads the request body.
     *
     * @throws RattanportException {@code BODY_TOO_LARGE} when it is longer than the limit
     */
    public byte[] readBody(long limitBytes) {
        mIsBodyRead = true;
        try {
            return RequestBody.read(
                    mChannel, mRequest, new RequestBody.Limits(limitBytes, BODY_IDLE_TIMEOUT));
        } catch (RattanportException e) {
            // The start of the next request can no longer be found.
            mClosesConnection = true;
            throw e;
        }
    }

    public JsonNode readJsonBody(long limitBytes) {
        return Json.parseObject(readBody(limitBytes));
    }

    public HttpExchange addResponseHeader(String name, String value) {
        mResponseHeaders.add(new Header(name, value));
        return this;
    }

    /** Sends a complete response with a JSON body. */
    public void respond(int status, Object json) {
        respond(status, HttpClientRequest.JSON_CONTENT_TYPE, Json.toJsonBytes(json));
    }

    public void respondText(int status, String text) {
        respond(status, "text/plain", text.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a complete response, and blocks until the system has taken it. */
    public void respond(int status, String contentType, byte[] body) {
        boolean hasNoBody = mRequest.method().equals(HttpMethod.HEAD);
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(hasNoBody ? new byte[0] : body));
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        addHeaders(response, contentType);
        requireSent(mChannel.writeLast(response, MAX_WRITE_STALL));
    }

    /** Starts a response that streams server-sent events. */
    public void startEventStream() {
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CACHE_CONTROL, "no-store");
        if (mRequest.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            mClosesConnection = true;
        }
        mHasOpenEventStream = true;
        addHeaders(response, EVENT_STREAM_CONTENT_TYPE);
        requireSent(mChannel.write(response, MAX_WRITE_STALL));
    }

    private void addHeaders(HttpResponse response, String contentType) {
        mIsResponseStarted = true;
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        mResponseHeaders.forEach(each -> response.headers().add(each.name(), each.value()));
        if (mClosesConnection) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /**
     * Writes encoded events, and blocks while the caller does not read.
     *
     * @throws RattanportException {@code CANCELLED} when the caller disconnects or stops reading
     */
    public void writeEvents(String events) {
        byte[] bytes = events.getBytes(StandardCharsets.UTF_8);
        requireSent(
                mChannel.write(
                        new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)), MAX_WRITE_STALL));
    }

    /** Ends the event stream as complete. */
    public void endEventStream() {
        if (mHasOpenEventStream) {
            mHasOpenEventStream = false;
            requireSent(mChannel.writeLast(LastHttpContent.EMPTY_LAST_CONTENT, MAX_WRITE_STALL));
        }
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

    /** Resets the connection, before or during the response. */
    public void abort() {
        mIsAborted = true;
        mChannel.reset();
    }

    /** Whether a response was started, after which no other one can be sent. */
    public boolean isResponseStarted() {
        return mIsResponseStarted;
    }

    /** Ends the exchange; returns whether the connection may carry another request. */
    boolean finish() {
        if (mIsAborted) {
            return false;
        }
        if (mHasOpenEventStream) {
            // The handler did not end its event stream, so the stream must not look complete.
            abort();
            return false;
        }
        if (!mClosesConnection && !mIsBodyRead) {
            readBody(MAX_DISCARDED_BODY_BYTES);
        }
        return !mClosesConnection;
    }
}
