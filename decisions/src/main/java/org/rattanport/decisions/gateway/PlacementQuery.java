package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.Set;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.CallerRequest;

/**
 * A request to place.
 *
 * @param service service of the request
 * @param request the request
 * @param objective time within which the first event is on time
 * @param maxEventGap longest gap between events that is on time
 * @param excluded ids of back ends that failed or refused the request before
 */
public record PlacementQuery(
        BackEndService service,
        CallerRequest request,
        Duration objective,
        Duration maxEventGap,
        Set<String> excluded) {}
