package org.rattanport.connectors.gateway;

import java.util.Optional;
import java.util.Set;
import org.rattanport.kernel.plugin.Edition;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.time.Deadline;

/** Provides the HTTP stack of the gateway. */
public final class GatewayHttpPlugin implements Plugin {
    private Optional<HttpTransport> mTransport = Optional.empty();

    @Override
    public String name() {
        return "gateway-http";
    }

    @Override
    public Set<Edition> editions() {
        return Set.of(Edition.GATEWAY);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(HttpTransport.class, SimpleHttp.class);
    }

    @Override
    public void start(PluginContext context) {
        HttpTransport transport = new HttpTransport();
        context.provide(HttpTransport.class, transport);
        context.provide(SimpleHttp.class, new SimpleHttp(transport, context.time()));
        mTransport = Optional.of(transport);
    }

    @Override
    public void stop(Deadline deadline) {
        mTransport.ifPresent(HttpTransport::close);
    }
}
