package org.rattanport.connectors.gateway;

import java.util.Set;
import org.rattanport.connectors.http.HttpIntake;
import org.rattanport.connectors.http.HttpTransport;
import org.rattanport.decisions.gateway.BodyMemory;
import org.rattanport.decisions.gateway.GatewayService;
import org.rattanport.decisions.gateway.discovery.ActiveRouting;
import org.rattanport.decisions.lifecycle.Drain;
import org.rattanport.decisions.lifecycle.InFlightRequests;
import org.rattanport.kernel.plugin.Edition;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.settings.LocalAddresses;

/** Accepts callers' connections; a task of its own serves each. */
public final class GatewayFrontPlugin implements Plugin {
    /** The bodies of requests may fill this part of the heap, the rest is for all other work. */
    private static final int BODY_SHARE = 2;

    @Override
    public String name() {
        return "gateway-front";
    }

    @Override
    public Set<Edition> editions() {
        return Set.of(Edition.GATEWAY);
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(
                HttpTransport.class,
                GatewayDialect.class,
                GatewayService.class,
                ActiveRouting.class,
                InFlightRequests.class,
                Drain.class,
                LocalAddresses.class);
    }

    @Override
    public void start(PluginContext context) {
        GatewayDialect dialect = context.require(GatewayDialect.class);
        GatewayService service = context.require(GatewayService.class);
        ActiveRouting routing = context.require(ActiveRouting.class);
        InFlightRequests inFlight = context.require(InFlightRequests.class);
        Drain drain = context.require(Drain.class);
        BodyMemory bodyMemory = new BodyMemory(Runtime.getRuntime().maxMemory() / BODY_SHARE);
        HttpIntake intake =
                context.require(HttpTransport.class)
                        .openIntake(
                                context.require(LocalAddresses.class).callerAddress(),
                                () -> routing.limits().maxHeaderBytes(),
                                channel ->
                                        new CallerConnection(
                                                        channel,
                                                        dialect,
                                                        service::serve,
                                                        routing,
                                                        inFlight,
                                                        bodyMemory,
                                                        drain::isDraining,
                                                        context.events()::publish)
                                                .run());
        drain.register(intake::close);
    }
}
