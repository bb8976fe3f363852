package org.rattanport.connectors.http;

import java.util.Optional;
import java.util.Set;
import org.rattanport.kernel.plugin.Edition;
import org.rattanport.kernel.plugin.Plugin;
import org.rattanport.kernel.plugin.PluginContext;
import org.rattanport.kernel.time.Deadline;

/** Provides the HTTP transport that all servers and clients of an instance share. */
public final class HttpPlugin implements Plugin {
    private Optional<HttpTransport> mTransport = Optional.empty();

    @Override
    public String name() {
        return "http";
    }

    @Override
    public Set<Edition> editions() {
        return Set.of(Edition.PROMPTS, Edition.GATEWAY);
    }

    @Override
    public Set<Class<?>> provides() {
        return Set.of(HttpTransport.class);
    }

    @Override
    public void start(PluginContext context) {
        HttpTransport transport = new HttpTransport();
        context.provide(HttpTransport.class, transport);
        mTransport = Optional.of(transport);
    }

    @Override
    public void stop(Deadline deadline) {
        mTransport.ifPresent(HttpTransport::close);
    }
}
