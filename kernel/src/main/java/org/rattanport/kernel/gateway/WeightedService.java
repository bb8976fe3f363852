package org.rattanport.kernel.gateway;

/**
 * One of the services that share the requests of a route.
 *
 * @param service name of the service
 * @param weight share relative to the sum of all weights of the route
 */
public record WeightedService(String service, double weight) {}
