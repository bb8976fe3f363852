package org.rattanport.connectors.caller;

import io.helidon.http.Method;
import io.helidon.webserver.WebServer;
import io.helidon.webserver.http.Handler;
import io.helidon.webserver.http.HttpRouting;
import io.helidon.webserver.http1.Http1Config;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.ServiceLoader;
import org.jboss.logging.Logger;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.plugin.PluginContext;

/** The HTTP server for callers and operators: one virtual thread for each connection. */
public final class CallerServer implements AutoCloseable {
    private static final Logger LOGGER = Logger.getLogger(CallerServer.class);
    private static final int LARGEST_HEADERS_BYTES = 32 * 1024;
    private static final int WAITING_CONNECTIONS = 1024;
    private static final Duration IDLE_CONNECTION = Duration.ofMinutes(5);

    private final WebServer mServer;
    private final String mHost;

    public CallerServer(String bindAddress, PluginContext context) {
        int colon = bindAddress.lastIndexOf(':');
        mHost = bindAddress.substring(0, colon);
        HttpRouting.Builder routing = HttpRouting.builder();
        HelidonRoutes routes = new HelidonRoutes(routing);
        ServiceLoader.load(Endpoint.class).forEach(each -> each.register(routes, context));
        routing.any(routes.handler(CallerServer::unknownPath));
        mServer =
                WebServer.builder()
                        .address(address(mHost))
                        .port(Integer.parseInt(bindAddress.substring(colon + 1)))
                        // The drain ends connections; a hook would cut them at once.
                        .shutdownHook(false)
                        .connectionOptions(options -> options.tcpNoDelay(true))
                        .backlog(WAITING_CONNECTIONS)
                        .idleConnectionTimeout(IDLE_CONNECTION)
                        .addProtocol(
                                Http1Config.builder().maxHeadersSize(LARGEST_HEADERS_BYTES).build())
                        .addRouting(routing)
                        .build()
                        .start();
    }

    private static InetAddress address(String host) {
        try {
            return InetAddress.getByName(host);
        } catch (UnknownHostException e) {
            throw RattanportException.builder(
                            ErrorCode.INVALID_SETTINGS, "\"" + host + "\" is no IP number")
                    .field("caller_address")
                    .build();
        }
    }

    public String boundAddress() {
        return mHost + ":" + mServer.port();
    }

    private static void unknownPath(Exchange exchange) {
        throw new RattanportException(ErrorCode.NOT_FOUND, "this path does not exist");
    }

    @Override
    public void close() {
        mServer.stop();
    }

    /** Registers handlers with Helidon and turns what they throw into error answers. */
    private record HelidonRoutes(HttpRouting.Builder routing) implements Routes {
        @Override
        public void get(String path, Routes.ExchangeHandler handler) {
            routing.route(Method.GET, path, handler(handler));
        }

        @Override
        public void post(String path, Routes.ExchangeHandler handler) {
            routing.route(Method.POST, path, handler(handler));
        }

        @Override
        public void put(String path, Routes.ExchangeHandler handler) {
            routing.route(Method.PUT, path, handler(handler));
        }

        Handler handler(Routes.ExchangeHandler handler) {
            return (request, response) -> {
                Exchange exchange = new Exchange(request, response);
                try {
                    handler.handle(exchange);
                } catch (RattanportException e) {
                    answer(exchange, e);
                } catch (RuntimeException e) {
                    LOGGER.error("a request failed by an unforeseen error", e);
                    answer(exchange, ErrorAnswers.unforeseen(e));
                }
            };
        }

        private static void answer(Exchange exchange, RattanportException error) {
            if (!exchange.isAnswered()) {
                ErrorAnswers.send(exchange, error);
            }
        }
    }
}
