package org.rattanport.connectors.caller;

import org.rattanport.connectors.http.Routes;
import org.rattanport.kernel.plugin.PluginContext;

/**
 * A group of routes of the HTTP server for callers. {@link java.util.ServiceLoader} finds the
 * implementations.
 */
public interface Endpoint {
    /**
     * Adds the routes. The handlers look services up for each request, because plug-ins that start
     * later may provide them.
     */
    void register(Routes routes, PluginContext context);
}
