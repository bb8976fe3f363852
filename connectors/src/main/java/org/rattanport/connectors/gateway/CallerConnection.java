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
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.rattanport.connectors.http.HttpChannel;
import org.rattanport.connectors.http.RequestBody;
import org.rattanport.decisions.gateway.BodyMemory;
import org.rattanport.decisions.gateway.discovery.ActiveRouting;
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
import org.rattanport.kernel.task.TaskInterrupt;

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
        TaskInterrupt interrupt = new TaskInterrupt();
        try (InFlightRequests.Entry entry = mInFlight.enter(() -> cut(exchange, interrupt));
                BodyMemory.Claim claim = mBodyMemory.open()) {
            Optional<RattanportException> error = serve(head, exchange, entry, claim);
            interrupt.close();
            end(head, exchange, error);
        }
        return !exchange.closesConnection();
    }

    private static void cut(NettyCallerExchange exchange, TaskInterrupt interrupt) {
        exchange.cutSignal().cancel();
        interrupt.interrupt();
    }

    /** Serves a request; returns the error with which it ended, if any. */
    private Optional<RattanportException> serve(
            HttpRequest head,
            NettyCallerExchange exchange,
            InFlightRequests.Entry entry,
            BodyMemory.Claim claim) {
        try {
            if (head.decoderResult().isFailure()) {
                throw malformedRequest(head);
            }
            byte[] body = RequestBody.read(mChannel, head, bodyLimits(claim));
            CallerRequest request = mDialect.decodeRequest(head, body);
            exchange.requestRead();
            entry.accept();
            mHandler.serve(request, exchange);
            return Optional.empty();
        } catch (RattanportException e) {
            boolean isCut = e.code() == ErrorCode.CANCELLED && exchange.cutSignal().isCancelled();
            return Optional.of(isCut ? stopping(e.verdict()) : e);
        } catch (RuntimeException | Error e) {
            return Optional.of(internalError(exchange, e));
        }
    }

    /**
     * Ends an exchange, however its request was served: one of which nothing was sent gets an
     * error, and one with a part of a response is reset.
     */
    private void end(
            HttpRequest head, NettyCallerExchange exchange, Optional<RattanportException> error) {
        boolean isRead = exchange.isRead();
        if (exchange.mayRespond()) {
            trySendError(head, exchange, error.orElseGet(CallerConnection::noResponse));
        }
        if (!exchange.isAnswered()) {
            UnansweredExchange.Cause cause = exchange.causeOfEnd();
            exchange.abort();
            mOnUnanswered.accept(
                    new UnansweredExchange(
                            attemptId(head),
                            exchange.state(),
                            cause,
                            String.valueOf(
                                    error.orElseGet(CallerConnection::noResponse).getMessage())));
        } else if (!isRead) {
            // The caller may still be sending the body; it reads the response before the close.
            mChannel.endOutput();
        }
        error.filter(each -> each.code() == ErrorCode.INTERNAL)
                .ifPresent(
                        each ->
                                LOGGER.errorf(
                                        each, "unexpected error in exchange %s", attemptId(head)));
    }

    private void trySendError(
            HttpRequest head, NettyCallerExchange exchange, RattanportException error) {
        try {
            sendError(head, exchange, error);
        } catch (RattanportException e) {
            LOGGER.debugf("cannot send the error of an exchange: %s", e.getMessage());
        } catch (RuntimeException | Error e) {
            LOGGER.errorf(e, "cannot send the error of an exchange");
        }
    }

    private static RattanportException stopping(Verdict verdict) {
        return RattanportException.builder(ErrorCode.STOPPING, "this instance is stopping")
                .verdict(verdict)
                .build();
    }

    private static RattanportException noResponse() {
        return RattanportException.builder(ErrorCode.ANSWER_CUT, "the response broke off")
                .verdict(Verdict.MAY_HAVE_RUN)
                .build();
    }

    /** An error of this instance; a request that was read may have been passed on. */
    private static RattanportException internalError(
            NettyCallerExchange exchange, Throwable cause) {
        return RattanportException.builder(ErrorCode.INTERNAL, "unexpected error: " + cause)
                .verdict(exchange.isRead() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN)
                .cause(cause)
                .build();
    }

    /** Decodes a head without its body; empty if it is malformed. */
    private Optional<CallerRequest> decodeHead(HttpRequest head) {
        try {
            return head.decoderResult().isFailure()
                    ? Optional.empty()
                    : Optional.of(mDialect.decodeRequest(head, new byte[0]));
        } catch (RuntimeException e) {
            LOGGER.debugf("cannot decode the head of a request: %s", e);
            return Optional.empty();
        }
    }

    private String attemptId(HttpRequest head) {
        return decodeHead(head).map(CallerRequest::attemptId).orElse("-");
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

    private void sendError(HttpRequest head, NettyCallerExchange exchange, RattanportException e) {
        Optional<CallerRequest> request = decodeHead(head);
        if (!exchange.isRead() || e.code() == ErrorCode.STOPPING) {
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
                exchange.startError(
                        ResponseHead.builder(status).headers(headers).build(), body.length);
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
        int status =
                switch (error.code()) {
                    case POISON_REQUEST -> 503;
                    // The caller is there to read it, so something else was cancelled.
                    case CANCELLED -> 502;
                    default -> error.code().httpStatus();
                };
        if (error.verdict() != Verdict.NOT_RUN && ResponseHead.impliesNotRun(status)) {
            return 502;
        }
        if (error.verdict() == Verdict.NOT_RUN && status == 502) {
            return 503;
        }
        return status;
    }
}
