package org.rattanport.standins;

import com.fasterxml.jackson.databind.JsonNode;
import io.helidon.http.HeaderNames;
import io.helidon.http.Method;
import io.helidon.webserver.WebServer;
import io.helidon.webserver.http.Handler;
import io.helidon.webserver.http.HttpRouting;
import io.helidon.webserver.http.ServerRequest;
import io.helidon.webserver.http.ServerResponse;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import org.rattanport.connectors.json.Json;

/** A small HTTP server on loopback for one stand-in. */
public final class StandInHttp implements AutoCloseable {
    /** Adds the routes of a stand-in. */
    @FunctionalInterface
    public interface RouteSetup {
        void add(HttpRouting.Builder routing);
    }

    private final WebServer mServer;

    /** Starts a server; port 0 takes a free one. */
    public StandInHttp(int port, RouteSetup setup) {
        HttpRouting.Builder routing = HttpRouting.builder();
        setup.add(routing);
        mServer =
                WebServer.builder()
                        .address(InetAddress.getLoopbackAddress())
                        .port(port)
                        .shutdownHook(false)
                        .connectionOptions(options -> options.tcpNoDelay(true))
                        .backlog(1024)
                        .addRouting(routing)
                        .build()
                        .start();
    }

    public int port() {
        return mServer.port();
    }

    public String address() {
        return "127.0.0.1:" + port();
    }

    @Override
    public void close() {
        mServer.stop();
    }

    public static void route(
            HttpRouting.Builder routing, Method method, String path, Handler handler) {
        routing.route(method, path, handler);
    }

    /** Reads the whole body. */
    public static byte[] body(ServerRequest request) {
        if (!request.content().hasEntity()) {
            return new byte[0];
        }
        try (InputStream input = request.content().inputStream()) {
            return input.readAllBytes();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public static JsonNode json(ServerRequest request) {
        return Json.parseObject(body(request));
    }

    public static void answer(ServerResponse response, int status, Object json) {
        response.status(status);
        response.header(HeaderNames.CONTENT_TYPE, "application/json");
        response.send(Json.write(json).getBytes(StandardCharsets.UTF_8));
    }

    public static void error(ServerResponse response, int status, String code) {
        var body = Json.object();
        body.putObject("error").put("code", code);
        answer(response, status, body);
    }
}
