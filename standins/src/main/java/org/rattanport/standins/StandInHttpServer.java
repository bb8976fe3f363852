package org.rattanport.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import org.rattanport.connectors.http.HttpExchange;
import org.rattanport.connectors.http.HttpServer;
import org.rattanport.connectors.http.HttpTransport;
import org.rattanport.connectors.http.Routes;
import org.rattanport.connectors.json.Json;

/** HTTP server of one stand-in; it listens on the loopback address. */
public final class StandInHttpServer implements AutoCloseable {
    private static final long MAX_BODY_BYTES = 256L * 1024 * 1024;

    private final HttpTransport mTransport = new HttpTransport();
    private final HttpServer mServer;

    /** Starts the server; port 0 selects a free port. */
    public StandInHttpServer(int port, Consumer<Routes> addRoutes) {
        mServer =
                new HttpServer(
                        mTransport, "127.0.0.1:" + port, addRoutes, HttpServer::sendErrorAsText);
    }

    public int port() {
        return mServer.port();
    }

    public String address() {
        return "127.0.0.1:" + port();
    }

    @Override
    public void close() {
        mServer.close();
        mTransport.close();
    }

    /** Reads the whole request body. */
    public static byte[] readBody(HttpExchange exchange) {
        return exchange.readBody(MAX_BODY_BYTES);
    }

    public static JsonNode readJson(HttpExchange exchange) {
        return Json.parseObject(readBody(exchange));
    }

    /** Responds with the status and a JSON body that holds the error code. */
    public static void sendError(HttpExchange exchange, int status, String code) {
        var body = Json.newObject();
        body.putObject("error").put("code", code);
        exchange.respond(status, body);
    }
}
