package org.rattanport.connectors.metrics;

import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import org.rattanport.connectors.http.HttpExchange;
import org.rattanport.connectors.http.HttpServer;
import org.rattanport.connectors.http.HttpTransport;
import org.rattanport.decisions.gateway.discovery.FleetState;
import org.rattanport.decisions.gateway.explain.PlacementExplainer;
import org.rattanport.decisions.lifecycle.InFlightRequests;
import org.rattanport.kernel.gateway.AttemptFailure;
import org.rattanport.kernel.gateway.BackEndNotice;
import org.rattanport.kernel.gateway.ColdBackEndEvent;
import org.rattanport.kernel.gateway.EvacuationChange;
import org.rattanport.kernel.gateway.GatewaySettings;
import org.rattanport.kernel.gateway.PlacementDecision;
import org.rattanport.kernel.gateway.RateLimitEvent;
import org.rattanport.kernel.gateway.RequestOutcome;
import org.rattanport.kernel.gateway.StoreChange;
import org.rattanport.kernel.gateway.StorePart;
import org.rattanport.kernel.gateway.UnansweredExchange;
import org.rattanport.kernel.peer.Membership;
import org.rattanport.kernel.plugin.Edition;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.time.Deadline;

/**
 * Serves the metrics of a gateway instance, and explanations of placements, if the settings have an
 * address for them.
 */
public final class GatewayMetricsPlugin implements Plugin {
    private static final String PATH = "/metrics";

    private final CompositeDisposable mSubscriptions = new CompositeDisposable();

    @Override
    public String name() {
        return "gateway-metrics";
    }

    @Override
    public Set<Edition> editions() {
        return Set.of(Edition.GATEWAY);
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                GatewaySettings.class,
                HttpTransport.class,
                FleetState.class,
                InFlightRequests.class,
                Membership.class,
                PlacementExplainer.class);
    }

    @Override
    public void start(PluginContext context) {
        Optional<String> address = context.require(GatewaySettings.class).metricsAddress();
        if (address.isEmpty()) {
            return;
        }
        GatewayMetrics metrics = new GatewayMetrics();
        mSubscriptions.add(
                context.events().stream(RequestOutcome.class).subscribe(metrics::countRequest));
        mSubscriptions.add(
                context.events().stream(AttemptFailure.class)
                        .subscribe(metrics::countAttemptFailure));
        mSubscriptions.add(
                context.events().stream(PlacementDecision.class)
                        .subscribe(metrics::countPlacement));
        mSubscriptions.add(
                context.events().stream(BackEndNotice.class).subscribe(metrics::countNotice));
        mSubscriptions.add(
                context.events().stream(UnansweredExchange.class)
                        .subscribe(metrics::countUnanswered));
        mSubscriptions.add(
                context.events().stream(StoreChange.class).subscribe(metrics::observeStoreChange));
        mSubscriptions.add(
                context.events().stream(RateLimitEvent.class).subscribe(metrics::countRateLimit));
        mSubscriptions.add(
                context.events().stream(ColdBackEndEvent.class)
                        .subscribe(metrics::countColdBackEnd));
        mSubscriptions.add(
                context.events().stream(EvacuationChange.class)
                        .subscribe(metrics::countEvacuation));
        ExplainEndpoint explain = new ExplainEndpoint(context.require(PlacementExplainer.class));
        new HttpServer(
                context.require(HttpTransport.class),
                address.get(),
                routes -> {
                    routes.get(PATH, exchange -> sendMetrics(exchange, metrics, context));
                    routes.get(ExplainEndpoint.PATH, explain::handle);
                },
                HttpServer::sendErrorAsText);
    }

    private static void sendMetrics(
            HttpExchange exchange, GatewayMetrics metrics, PluginContext context) {
        metrics.setState("requests_in_flight", context.require(InFlightRequests.class).count());
        metrics.setState("alive_members", context.require(Membership.class).aliveMembers().size());
        FleetState state = context.require(FleetState.class);
        metrics.setState("document_version", state.documentVersion());
        metrics.setState("registry_version", state.registryPosition().version());
        metrics.setState("store_era", state.registryPosition().era());
        for (StorePart part : StorePart.values()) {
            state.storeAge(part)
                    .ifPresent(
                            age ->
                                    metrics.setState(
                                            part.wireName() + "_store_age_millis", age.toMillis()));
        }
        exchange.respond(
                200,
                "text/plain; version=0.0.4",
                metrics.toPrometheusText().getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void stop(Deadline deadline) {
        mSubscriptions.dispose();
    }
}
