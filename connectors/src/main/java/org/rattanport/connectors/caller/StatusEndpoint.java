package org.rattanport.connectors.caller;

import java.nio.charset.StandardCharsets;
import org.rattanport.connectors.http.Exchange;
import org.rattanport.connectors.http.Routes;
import org.rattanport.connectors.json.Json;
import org.rattanport.connectors.metrics.InstanceMetrics;
import org.rattanport.decisions.lifecycle.AddressBook;
import org.rattanport.decisions.lifecycle.Drain;
import org.rattanport.kernel.environment.EnvironmentInForce;
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
        routes.get("/health", exchange -> exchange.answer(SUCCESS, Json.object().put("up", true)));
        routes.get("/ready", exchange -> sendReadiness(exchange, context));
        routes.get(
                "/metrics",
                exchange ->
                        exchange.answer(
                                SUCCESS,
                                "text/plain; version=0.0.4; charset=utf-8",
                                context.require(InstanceMetrics.class)
                                        .toPrometheusText(context)
                                        .getBytes(StandardCharsets.UTF_8)));
    }

    private static void sendAddresses(Exchange exchange, PluginContext context) {
        String dataCentre = exchange.query("data_centre").orElse("");
        var body = Json.object();
        var list = body.putArray("addresses");
        context.require(AddressBook.class).addresses(dataCentre).forEach(list::add);
        long millis =
                context.require(InstanceSettings.class).timings().addressTimeToLive().toMillis();
        body.put("time_to_live_seconds", millis / MILLIS_PER_SECOND);
        exchange.answer(SUCCESS, body);
    }

    private static void sendReadiness(Exchange exchange, PluginContext context) {
        boolean isDraining = context.find(Drain.class).map(Drain::isDraining).orElse(true);
        boolean hasDocument =
                context.find(EnvironmentInForce.class)
                        .filter(each -> each.version(Stage.PRODUCTION) > 0)
                        .isPresent();
        boolean isReady = !isDraining && hasDocument;
        exchange.answer(
                isReady ? SUCCESS : UNAVAILABLE,
                Json.object()
                        .put("ready", isReady)
                        .put("draining", isDraining)
                        .put("has_document", hasDocument));
    }
}
