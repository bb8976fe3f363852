package org.rattanport.connectors.caller;

import java.util.Optional;
import java.util.ServiceLoader;
import java.util.Set;
import org.rattanport.connectors.http.HttpServer;
import org.rattanport.connectors.http.HttpTransport;
import org.rattanport.connectors.metrics.InstanceMetrics;
import org.rattanport.connectors.peer.NettyPeerNetwork;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.settings.InstanceSettings;
import org.rattanport.kernel.settings.LocalAddresses;
import org.rattanport.kernel.time.Deadline;

/**
 * Starts the HTTP server for callers and operators, and provides the addresses that this instance
 * has bound.
 */
public final class CallerPlugin implements Plugin {
    private Optional<HttpServer> mServer = Optional.empty();

    @Override
    public String name() {
        return "callers";
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(HttpTransport.class, InstanceSettings.class, NettyPeerNetwork.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(LocalAddresses.class, InstanceMetrics.class, ResumeTickets.class);
    }

    @Override
    public void start(PluginContext context) {
        context.provide(InstanceMetrics.class, new InstanceMetrics());
        context.provide(
                ResumeTickets.class,
                new ResumeTickets(context.require(InstanceSettings.class).peerSecret()));
        String callerAddress = context.require(InstanceSettings.class).callerAddress();
        HttpServer server =
                new HttpServer(
                        context.require(HttpTransport.class),
                        callerAddress,
                        routes ->
                                ServiceLoader.load(Endpoint.class)
                                        .forEach(each -> each.register(routes, context)),
                        ErrorResponses::send);
        mServer = Optional.of(server);
        context.provide(
                LocalAddresses.class,
                new LocalAddresses(
                        callerAddress.substring(0, callerAddress.lastIndexOf(':') + 1)
                                + server.port(),
                        context.require(NettyPeerNetwork.class).boundAddress()));
    }

    @Override
    public void stop(Deadline deadline) {
        mServer.ifPresent(HttpServer::close);
    }
}
