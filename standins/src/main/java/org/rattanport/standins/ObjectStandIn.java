package org.rattanport.standins;

import io.helidon.http.Method;
import io.helidon.webserver.http.HttpRouting;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import org.rattanport.connectors.json.Json;

/** Stands in for the object store. */
public final class ObjectStandIn implements AutoCloseable {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final Map<String, byte[]> mObjects = new ConcurrentSkipListMap<>();
    private final StandInHttp mServer;

    public ObjectStandIn(int port) {
        mServer = new StandInHttp(port, this::addRoutes);
    }

    public String url() {
        return "http://" + mServer.address();
    }

    private void addRoutes(HttpRouting.Builder routing) {
        StandInHttp.route(
                routing,
                Method.GET,
                "/object",
                (request, response) -> {
                    byte[] content = mObjects.get(request.query().get("key"));
                    if (content == null) {
                        StandInHttp.error(response, NOT_FOUND, "absent");
                    } else {
                        response.send(content);
                    }
                });
        StandInHttp.route(
                routing,
                Method.PUT,
                "/object",
                (request, response) -> {
                    mObjects.put(request.query().get("key"), StandInHttp.body(request));
                    StandInHttp.answer(response, OK, Json.object());
                });
        StandInHttp.route(
                routing,
                Method.DELETE,
                "/object",
                (request, response) -> {
                    mObjects.remove(request.query().get("key"));
                    StandInHttp.answer(response, OK, Json.object());
                });
        StandInHttp.route(
                routing,
                Method.GET,
                "/objects",
                (request, response) -> {
                    String prefix = request.query().get("prefix");
                    var body = Json.object();
                    var keys = body.putArray("keys");
                    mObjects.keySet().stream()
                            .filter(key -> key.startsWith(prefix))
                            .forEach(keys::add);
                    StandInHttp.answer(response, OK, body);
                });
    }

    @Override
    public void close() {
        mServer.close();
    }
}
