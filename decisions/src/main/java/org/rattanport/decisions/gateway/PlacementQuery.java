package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.Set;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.CallerRequest;

/**
 * A request to be placed.
 *
 * @param service service that it belongs to
 * @param request the request
 * @param objective time within which its first event is on time
 * @param maxGap longest pause between events that is on time
 * @param excluded ids of back ends that failed or refused it before
 */
public record PlacementQuery(
        BackEndService service,
        CallerRequest request,
        Duration objective,
        Duration maxGap,
        Set<String> excluded) {}
