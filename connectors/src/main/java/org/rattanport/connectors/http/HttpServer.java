package org.rattanport.connectors.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;

/** Serves routes, with one task for each connection. */
public final class HttpServer implements AutoCloseable {
    private static final Logger LOGGER = Logger.getLogger(HttpServer.class);
    private static final int MAX_HEADER_BYTES = 32 * 1024;
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(5);

    private record Route(String method, PathTemplate path, Routes.ExchangeHandler handler) {}

    private final List<Route> mRoutes = new ArrayList<>();
    private final Set<HttpChannel> mConnections = ConcurrentHashMap.newKeySet();
    private final BiConsumer<HttpExchange, RattanportException> mOnError;
    private final Channel mListener;
    private volatile boolean mIsClosed;

    /**
     * Listens at the address; port 0 selects a free port.
     *
     * @param onError sends the error response when a handler throws before it starts a response
     */
    public HttpServer(
            HttpTransport transport,
            String address,
            Consumer<Routes> setup,
            BiConsumer<HttpExchange, RattanportException> onError) {
        setup.accept(
                (method, path, handler) ->
                        mRoutes.add(new Route(method, new PathTemplate(path), handler)));
        mOnError = onError;
        mListener = transport.listen(address, () -> MAX_HEADER_BYTES, this::serveConnection);
    }

    /** Sends errors as plain text, for servers without an error format of their own. */
    public static void sendErrorAsText(HttpExchange exchange, RattanportException error) {
        exchange.respondText(error.code().httpStatus(), error.getMessage() + "\n");
    }

    public int port() {
        return ((InetSocketAddress) mListener.localAddress()).getPort();
    }

    private void serveConnection(HttpChannel channel) {
        mConnections.add(channel);
        try {
            if (!mIsClosed) {
                channel.serveRequests(
                        () -> IDLE_TIMEOUT, request -> serveRequest(channel, request));
            }
        } catch (RattanportException e) {
            LOGGER.debugf("connection ended: %s", e.getMessage());
        } finally {
            mConnections.remove(channel);
            channel.close();
        }
    }

    /** Serves one request; returns whether the connection may carry another one. */
    private boolean serveRequest(HttpChannel channel, HttpRequest head) {
        QueryStringDecoder requestTarget = new QueryStringDecoder(head.uri());
        HttpExchange exchange = new HttpExchange(channel, head, requestTarget.parameters());
        try {
            if (head.decoderResult().isFailure()) {
                exchange.closeConnectionAfterResponse();
                throw new RattanportException(
                        ErrorCode.INVALID_REQUEST,
                        "the request is malformed: " + head.decoderResult().cause().getMessage());
            }
            findHandler(exchange, head.method().name(), requestTarget.path()).handle(exchange);
        } catch (RattanportException e) {
            sendError(exchange, e);
        } catch (RuntimeException e) {
            LOGGER.error("unexpected error while serving a request", e);
            sendError(
                    exchange,
                    RattanportException.builder(ErrorCode.INTERNAL, "internal error")
                            .verdict(Verdict.MAY_HAVE_RUN)
                            .cause(e)
                            .build());
        }
        return exchange.finish();
    }

    private Routes.ExchangeHandler findHandler(HttpExchange exchange, String method, String path) {
        for (Route route : mRoutes) {
            Optional<Map<String, String>> parameters =
                    route.method().equals(method) ? route.path().match(path) : Optional.empty();
            if (parameters.isPresent()) {
                exchange.setPathParameters(parameters.get());
                return route.handler();
            }
        }
        throw new RattanportException(ErrorCode.NOT_FOUND, "this path does not exist");
    }

    private void sendError(HttpExchange exchange, RattanportException error) {
        if (!exchange.isResponseStarted()) {
            mOnError.accept(exchange, error);
        }
    }

    /** Stops listening and closes the open connections. */
    @Override
    public void close() {
        mIsClosed = true;
        mListener.close().awaitUninterruptibly();
        mConnections.forEach(HttpChannel::close);
    }
}
