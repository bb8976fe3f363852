package org.rattanport.decisions.gateway.limits;

import org.rattanport.kernel.gateway.ColdBound;

/**
 * What decides the requests to cold back ends.
 *
 * @param backEnds which back ends are cold
 * @param bound requests that a cold back end may get within any second
 * @param fleet how much of the fleet this instance sees
 */
public record ColdRules(ColdBackEnds backEnds, ColdBound bound, FleetView fleet) {}
