package org.rattanport.standins;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import org.rattanport.connectors.http.Routes;
import org.rattanport.connectors.json.Json;

/** Stand-in for the platform's object store; it stores the objects in memory. */
public final class ObjectStoreStandIn implements AutoCloseable {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final Map<String, byte[]> mObjects = new ConcurrentSkipListMap<>();
    private final StandInHttpServer mServer;

    public ObjectStoreStandIn(int port) {
        mServer = new StandInHttpServer(port, this::addRoutes);
    }

    public String url() {
        return "http://" + mServer.address();
    }

    private void addRoutes(Routes routes) {
        routes.get(
                "/object",
                exchange -> {
                    byte[] content = mObjects.get(exchange.queryParameter("key").orElse(""));
                    if (content == null) {
                        StandInHttpServer.sendError(exchange, NOT_FOUND, "absent");
                    } else {
                        exchange.respond(OK, "application/octet-stream", content);
                    }
                });
        routes.put(
                "/object",
                exchange -> {
                    mObjects.put(
                            exchange.queryParameter("key").orElse(""),
                            StandInHttpServer.readBody(exchange));
                    exchange.respond(OK, Json.newObject());
                });
        routes.delete(
                "/object",
                exchange -> {
                    mObjects.remove(exchange.queryParameter("key").orElse(""));
                    exchange.respond(OK, Json.newObject());
                });
        routes.get(
                "/objects",
                exchange -> {
                    String prefix = exchange.queryParameter("prefix").orElse("");
                    var body = Json.newObject();
                    var keys = body.putArray("keys");
                    mObjects.keySet().stream()
                            .filter(key -> key.startsWith(prefix))
                            .forEach(keys::add);
                    exchange.respond(OK, body);
                });
    }

    @Override
    public void close() {
        mServer.close();
    }
}
