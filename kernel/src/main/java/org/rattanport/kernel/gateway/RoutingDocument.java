package org.rattanport.kernel.gateway;

import java.util.List;

/**
 * The routes, services, accounts and limits of one version.
 *
 * @param version number that only rises
 */
public record RoutingDocument(
        long version,
        List<Route> routes,
        List<BackEndService> services,
        List<GatewayAccount> accounts,
        CallerLimits limits) {}
