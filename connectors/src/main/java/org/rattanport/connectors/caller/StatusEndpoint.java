package org.rattanport.connectors.caller;

import java.nio.charset.StandardCharsets;
import org.rattanport.connectors.http.HttpExchange;
import org.rattanport.connectors.http.Routes;
import org.rattanport.connectors.json.Json;
import org.rattanport.connectors.metrics.InstanceMetrics;
import org.rattanport.decisions.lifecycle.AddressSelector;
import org.rattanport.decisions.lifecycle.Drain;
import org.rattanport.kernel.environment.ActiveEnvironments;
import org.rattanport.kernel.environment.Stage;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.settings.InstanceSettings;

/** Serves the addresses that callers may use, health, readiness and metrics. */
public final class StatusEndpoint implements Endpoint {
    private static final int SUCCESS = 200;
    private static final int UNAVAILABLE = 503;
    private static final double MILLIS_PER_SECOND = 1000;

    @Override
    public void register(Routes routes, PluginContext context) {
        routes.get("/v1/addresses", exchange -> sendAddresses(exchange, context));
        routes.get(
                "/health", exchange -> exchange.respond(SUCCESS, Json.newObject().put("up", true)));
        routes.get("/ready", exchange -> sendReadiness(exchange, context));
        routes.get(
                "/metrics",
                exchange ->
                        exchange.respond(
                                SUCCESS,
                                "text/plain; version=0.0.4; charset=utf-8",
                                context.require(InstanceMetrics.class)
                                        .toPrometheusText(context)
                                        .getBytes(StandardCharsets.UTF_8)));
    }

    private static void sendAddresses(HttpExchange exchange, PluginContext context) {
        String dataCentre = exchange.queryParameter("data_centre").orElse("");
        var body = Json.newObject();
        var list = body.putArray("addresses");
        context.require(AddressSelector.class).addresses(dataCentre).forEach(list::add);
        long millis =
                context.require(InstanceSettings.class).timings().addressTimeToLive().toMillis();
        body.put("time_to_live_seconds", millis / MILLIS_PER_SECOND);
        exchange.respond(SUCCESS, body);
    }

    private static void sendReadiness(HttpExchange exchange, PluginContext context) {
        boolean isDraining = context.find(Drain.class).map(Drain::isDraining).orElse(true);
        boolean hasDocument =
                context.find(ActiveEnvironments.class)
                        .filter(each -> each.activeVersion(Stage.PRODUCTION) > 0)
                        .isPresent();
        boolean isReady = !isDraining && hasDocument;
        exchange.respond(
                isReady ? SUCCESS : UNAVAILABLE,
                Json.newObject()
                        .put("ready", isReady)
                        .put("draining", isDraining)
                        .put("has_document", hasDocument));
    }
}
