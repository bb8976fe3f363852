package org.rattanport.decisions.gateway.placement;

import java.util.Optional;

/** Chooses the back end, and for prompts the prefill engines, of a request. */
public interface BackEndPlacement {
    /** Returns the placement, or empty when no back end accepts requests. */
    Optional<Placement> place(PlacementQuery query);
}
