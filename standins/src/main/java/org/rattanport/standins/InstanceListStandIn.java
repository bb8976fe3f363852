package org.rattanport.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.rattanport.connectors.http.HttpClientRequest;
import org.rattanport.connectors.http.HttpExchange;
import org.rattanport.connectors.http.Routes;
import org.rattanport.connectors.json.Json;
import org.rattanport.kernel.model.Target;
import org.rattanport.kernel.model.TargetId;
import org.rattanport.kernel.model.TargetKind;
import org.rattanport.kernel.platform.InstanceList.ListedInstance;
import org.rattanport.kernel.task.Tasks;
import org.rattanport.kernel.time.SystemTimeSource;
import org.rattanport.kernel.time.TimeSource;

/**
 * Stand-in for the platform's list of targets and entry instances. The list applies some changes
 * only after a lag, as the platform's list does.
 */
public final class InstanceListStandIn implements AutoCloseable {
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;

    private final TimeSource mTime = new SystemTimeSource();
    private final Duration mLag;
    private final Map<String, Target> mTargets = new TreeMap<>();
    private final Map<String, ListedInstance> mInstances = new TreeMap<>();
    private final StandInHttpServer mServer;
    private long mListVersion;

    public InstanceListStandIn(int port, Duration lag) {
        mLag = lag;
        mServer = new StandInHttpServer(port, this::addRoutes);
    }

    public String url() {
        return "http://" + mServer.address();
    }

    /** Adds or replaces a target without a lag. */
    public synchronized void put(Target target) {
        mTargets.put(target.id().name(), target);
        mListVersion++;
    }

    /** Adds or replaces an entry instance without a lag. */
    public synchronized void put(ListedInstance instance) {
        mInstances.put(instance.name(), instance);
        mListVersion++;
    }

    /** Adds or replaces a target after the lag. */
    public void putAfterLag(Target target) {
        runAfterLag(() -> put(target));
    }

    /** Removes a target after the lag. */
    public void removeTargetAfterLag(String name) {
        runAfterLag(
                () -> {
                    synchronized (this) {
                        mTargets.remove(name);
                        mListVersion++;
                    }
                });
    }

    /** Removes an entry instance after the lag. */
    public void removeInstanceAfterLag(String name) {
        runAfterLag(
                () -> {
                    synchronized (this) {
                        mInstances.remove(name);
                        mListVersion++;
                    }
                });
    }

    /** Returns the entity tag of the current list. */
    public synchronized String entityTag() {
        return "\"" + mListVersion + "\"";
    }

    private void runAfterLag(Runnable change) {
        Tasks.start(
                "list-lag",
                () -> {
                    mTime.sleep(mLag);
                    change.run();
                });
    }

    private void addRoutes(Routes routes) {
        routes.get("/instances", this::sendList);
        routes.put(
                "/instances",
                exchange -> {
                    var body = StandInHttpServer.readJson(exchange);
                    put(
                            new ListedInstance(
                                    body.path("name").asText(),
                                    body.path("caller_address").asText(),
                                    body.path("peer_address").asText(),
                                    body.path("data_centre").asText(),
                                    false));
                    exchange.respond(OK, Json.newObject());
                });
        routes.put(
                "/targets",
                exchange -> {
                    put(parseTarget(StandInHttpServer.readJson(exchange)));
                    exchange.respond(OK, Json.newObject());
                });
    }

    private static Target parseTarget(JsonNode body) {
        return new Target(
                new TargetId(body.path("name").asText(), body.path("incarnation").asLong()),
                TargetKind.valueOf(body.path("kind").asText()),
                body.path("pool").asText(),
                body.path("address").asText(),
                body.path("data_centre").asText(),
                body.path("leaving").asBoolean());
    }

    private synchronized void sendList(HttpExchange exchange) {
        String entityTag = entityTag();
        exchange.addResponseHeader("ETag", entityTag);
        if (exchange.header("If-None-Match").orElse("").equals(entityTag)) {
            exchange.respond(NOT_MODIFIED, HttpClientRequest.JSON_CONTENT_TYPE, new byte[0]);
            return;
        }
        var body = Json.newObject();
        var targets = body.putArray("targets");
        mTargets.values()
                .forEach(
                        each ->
                                targets.addObject()
                                        .put("name", each.id().name())
                                        .put("incarnation", each.id().incarnation())
                                        .put("kind", each.kind().name())
                                        .put("pool", each.pool())
                                        .put("address", each.address())
                                        .put("data_centre", each.dataCentre())
                                        .put("leaving", each.isDraining()));
        var instances = body.putArray("instances");
        mInstances
                .values()
                .forEach(
                        each ->
                                instances
                                        .addObject()
                                        .put("name", each.name())
                                        .put("caller_address", each.callerAddress())
                                        .put("peer_address", each.peerAddress())
                                        .put("data_centre", each.dataCentre())
                                        .put("leaving", each.isLeaving()));
        exchange.respond(OK, body);
    }

    @Override
    public void close() {
        mServer.close();
    }
}
