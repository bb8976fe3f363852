package org.rattanport.decisions.gateway.placement;

import java.util.Set;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.PlacementDemand;

/**
 * A request to place.
 *
 * @param service service of the request
 * @param demand what the request needs
 */
public record PlacementQuery(BackEndService service, PlacementDemand demand) {
    /** Ids of back ends that may not be used. */
    Set<String> excluded() {
        return demand.excluded();
    }
}
