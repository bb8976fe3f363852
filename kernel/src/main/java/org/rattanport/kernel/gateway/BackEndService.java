package org.rattanport.kernel.gateway;

import java.util.Optional;

/**
 * A service of the document in force.
 *
 * @param name name that routes and back ends refer to
 * @param maxConnections connections that one back end accepts from all callers together
 * @param engine figures of its model engines; empty for a plain service
 */
public record BackEndService(String name, int maxConnections, Optional<EngineFigures> engine) {}
