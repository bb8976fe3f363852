package org.rattanport.kernel.gateway;

/**
 * One of the services among which the requests of a route are split.
 *
 * @param service name of the service
 * @param weight share of the requests, relative to the sum of the weights of the route
 */
public record WeightedService(String service, double weight) {}
