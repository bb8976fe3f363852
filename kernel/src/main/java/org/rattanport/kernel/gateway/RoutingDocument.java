package org.rattanport.kernel.gateway;

import java.util.List;

/**
 * Routes, services, accounts and limits of one version of the operator's document.
 *
 * @param version version number; a newer document has a higher one
 */
public record RoutingDocument(
        long version,
        List<Route> routes,
        List<BackEndService> services,
        List<GatewayAccount> accounts,
        CallerLimits limits) {}
