package org.rattanport.connectors.gateway;

import java.util.Set;
import org.rattanport.connectors.http.HttpTransport;
import org.rattanport.kernel.gateway.BackEndClient;
import org.rattanport.kernel.plugin.Edition;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;

/** Provides the client that sends requests to back ends. */
public final class BackEndClientPlugin implements Plugin {
    @Override
    public String name() {
        return "back-end-client";
    }

    @Override
    public Set<Edition> editions() {
        return Set.of(Edition.GATEWAY);
    }

    @Override
    public Set<Class<?>> requires() {
        return Set.of(HttpTransport.class, GatewayDialect.class);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(BackEndClient.class);
    }

    @Override
    public void start(PluginContext context) {
        context.provide(
                BackEndClient.class,
                new NettyBackEndClient(
                        context.require(HttpTransport.class),
                        context.require(GatewayDialect.class),
                        context.time()));
    }
}
