package org.rattanport.decisions.gateway.placement;

import java.util.Set;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.EngineSpec;
import org.rattanport.kernel.gateway.PlacementDemand;

/**
 * A request to place.
 *
 * @param service service of the request
 * @param demand what the request needs
 */
public record PlacementQuery(BackEndService service, PlacementDemand demand) {
    /** Whether an engine may still hold the beginning of the prompt or retain it for others. */
    boolean retainsPrompt() {
        return service.engineSpec().filter(EngineSpec::retainsPrompts).isPresent()
                && !demand.parts().isEmpty();
    }

    /** Ids of back ends that may not be used. */
    Set<String> excluded() {
        return demand.excluded();
    }
}
