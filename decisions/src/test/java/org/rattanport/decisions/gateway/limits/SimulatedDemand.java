package org.rattanport.decisions.gateway.limits;

/** What an instance does when a caller sends it a request. */
interface SimulatedDemand {
    void request(RateLimitSimulation.Node node);
}
