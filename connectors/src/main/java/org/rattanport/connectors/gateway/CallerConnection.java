package org.rattanport.connectors.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.rattanport.connectors.http.HttpChannel;
import org.rattanport.connectors.http.RequestBody;
import org.rattanport.decisions.gateway.ActiveRouting;
import org.rattanport.decisions.gateway.BodyMemory;
import org.rattanport.decisions.lifecycle.InFlightRequests;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.event.LogLine;
import org.rattanport.kernel.gateway.CallerExchange;
import org.rattanport.kernel.gateway.CallerLimits;
import org.rattanport.kernel.gateway.CallerRequest;
import org.rattanport.kernel.gateway.Header;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.gateway.ResponseWriter;
import org.rattanport.kernel.gateway.UnansweredExchange;

/** The task of one caller's connection. Reads a request, sends the response, and reads the next. */
final class CallerConnection {
    private static final Logger LOGGER = Logger.getLogger(CallerConnection.class);

    /** Forwards a request and sends its response, or throws when nothing of one was sent. */
    interface Handler {
        void serve(CallerRequest request, CallerExchange exchange);
    }

    private final HttpChannel mChannel;
    private final GatewayDialect mDialect;
    private final Handler mHandler;
    private final ActiveRouting mRouting;
    private final InFlightRequests mInFlight;
    private final BodyMemory mBodyMemory;
    private final BooleanSupplier mIsDraining;
    private final Consumer<UnansweredExchange> mOnUnanswered;

    CallerConnection(
            HttpChannel channel,
            GatewayDialect dialect,
            Handler handler,
            ActiveRouting routing,
            InFlightRequests inFlight,
            BodyMemory bodyMemory,
            BooleanSupplier isDraining,
            Consumer<UnansweredExchange> onUnanswered) {
        mChannel = channel;
        mDialect = dialect;
        mHandler = handler;
        mRouting = routing;
        mInFlight = inFlight;
        mBodyMemory = bodyMemory;
        mIsDraining = isDraining;
        mOnUnanswered = onUnanswered;
    }

    /** Serves requests until the connection ends. */
    void run() {
        try {
            mChannel.serveRequests(() -> mRouting.limits().idleTimeout(), this::serveRequest);
        } catch (RattanportException e) {
            LOGGER.debugf("caller connection ended: %s", e.getMessage());
        } finally {
            mChannel.close();
        }
    }

    /** Serves one request; returns whether the connection may carry another one. */
    private boolean serveRequest(HttpRequest head) {
        NettyCallerExchange exchange =
                new NettyCallerExchange(
                        mChannel,
                        () -> !HttpUtil.isKeepAlive(head) || mIsDraining.getAsBoolean(),
                        head.method().equals(HttpMethod.HEAD),
                        head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0);
        String reason = "an unexpected error";
        try (InFlightRequests.Entry entry = mInFlight.enter(exchange.cutSignal()::cancel);
                BodyMemory.Claim claim = mBodyMemory.open()) {
            if (head.decoderResult().isFailure()) {
                sendError(exchange, Optional.empty(), malformedRequest(head));
                mChannel.endOutput();
                return false;
            }
            boolean mayContinue = serveRequest(head, exchange, entry, claim);
            reason = "the request ended without a response";
            return mayContinue;
        } catch (RattanportException e) {
            reason = String.valueOf(e.getMessage());
            throw e;
        } finally {
            if (exchange.state() != UnansweredExchange.State.ANSWERED) {
                mOnUnanswered.accept(
                        new UnansweredExchange(
                                attemptId(head), exchange.state(), exchange.causeOfEnd(), reason));
            }
        }
    }

    private String attemptId(HttpRequest head) {
        return head.decoderResult().isFailure()
                ? "-"
                : mDialect.decodeRequest(head, new byte[0]).attemptId();
    }

    private boolean serveRequest(
            HttpRequest head,
            NettyCallerExchange exchange,
            InFlightRequests.Entry entry,
            BodyMemory.Claim claim) {
        CallerRequest request;
        try {
            byte[] body = RequestBody.read(mChannel, head, bodyLimits(claim));
            request = mDialect.decodeRequest(head, body);
            exchange.requestRead();
        } catch (RattanportException e) {
            if (e.code() == ErrorCode.CANCELLED) {
                throw e;
            }
            sendError(exchange, Optional.of(mDialect.decodeRequest(head, new byte[0])), e);
            // The caller may still be sending the body; it reads the response before the close.
            mChannel.endOutput();
            return false;
        }
        try {
            entry.accept();
            if (!forward(request, exchange)) {
                return false;
            }
        } catch (RattanportException e) {
            if (e.code() == ErrorCode.CANCELLED) {
                return false;
            }
            // The instance no longer accepts requests.
            sendError(exchange, Optional.of(request), e);
        } catch (RuntimeException e) {
            LOGGER.errorf(
                    e,
                    "unexpected error while serving request %s; closing its connection",
                    request.attemptId());
            return false;
        }
        return !exchange.closesConnection();
    }

    /** Returns false if the caller is gone. An error response is still part of the request. */
    private boolean forward(CallerRequest request, NettyCallerExchange exchange) {
        try {
            mHandler.serve(request, exchange);
        } catch (RattanportException e) {
            if (mChannel.disconnection().isCancelled() || e.code() == ErrorCode.CANCELLED) {
                return false;
            }
            sendError(exchange, Optional.of(request), e);
        }
        return true;
    }

    private static RattanportException malformedRequest(HttpRequest head) {
        return new RattanportException(
                ErrorCode.INVALID_REQUEST,
                "the request is malformed: " + head.decoderResult().cause().getMessage());
    }

    private RequestBody.Limits bodyLimits(BodyMemory.Claim claim) {
        CallerLimits limits = mRouting.limits();
        return new RequestBody.Limits(limits.maxBodyBytes(), limits.idleTimeout(), claim::growTo);
    }

    private void sendError(
            NettyCallerExchange exchange, Optional<CallerRequest> request, RattanportException e) {
        boolean isUnread = exchange.state() == UnansweredExchange.State.READING;
        if (isUnread || e.code() == ErrorCode.STOPPING) {
            exchange.closeConnection();
        }
        byte[] body =
                (e.code().wireName() + ": " + e.getMessage() + "\n")
                        .getBytes(StandardCharsets.UTF_8);
        List<Header> headers = new ArrayList<>();
        headers.add(new Header(HttpHeaderNames.CONTENT_TYPE.toString(), "text/plain"));
        request.ifPresent(each -> headers.addAll(mDialect.errorHeaders(each, e)));
        int status = status(e);
        LOGGER.info(
                LogLine.of("request-refused")
                        .with("request", request.map(CallerRequest::attemptId).orElse("-"))
                        .with("status", status)
                        .with("code", e.code().wireName())
                        .with("verdict", e.verdict().wireName())
                        .with("document", mRouting.version())
                        .with("reason", e.getMessage()));
        ResponseWriter response =
                exchange.startResponse(
                        ResponseHead.builder(status).headers(headers).build(),
                        OptionalInt.of(body.length));
        response.write(body);
        response.finish();
    }

    /**
     * Maps an error to a status. Callers conclude from 408, 421, 429 and 503 that the request did
     * not run, so only an error with verdict {@code NOT_RUN} gets one of these.
     */
    private static int status(RattanportException error) {
        // A poison request may be valid, so its refusal must not say 422 (an invalid request). The
        // refused attempt did not run, which 503 expresses.
        int status = error.code() == ErrorCode.POISON_REQUEST ? 503 : error.code().httpStatus();
        if (error.verdict() != Verdict.NOT_RUN && ResponseHead.impliesNotRun(status)) {
            return 502;
        }
        if (error.verdict() == Verdict.NOT_RUN && status == 502) {
            return 503;
        }
        return status;
    }
}
