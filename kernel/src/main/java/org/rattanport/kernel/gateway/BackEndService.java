package org.rattanport.kernel.gateway;

import java.util.Optional;

/**
 * A service of the active routing document.
 *
 * @param name name by which routes and back ends refer to the service
 * @param maxConnections maximum number of connections that one back end accepts from all gateways
 * @param engineSpec capacity and speed of its model engines; empty for a plain service
 * @param coldRequestsPerSecond requests a second that a cold back end of it takes from all
 *     instances together; 0 if there is no such bound
 */
public record BackEndService(
        String name,
        int maxConnections,
        Optional<EngineSpec> engineSpec,
        double coldRequestsPerSecond) {
    /** Creates a service whose cold back ends have no bound. */
    public BackEndService(String name, int maxConnections, Optional<EngineSpec> engineSpec) {
        this(name, maxConnections, engineSpec, 0);
    }
}
