package org.rattanport.decisions.gateway;

import java.util.Optional;

/** Chooses where a request goes. */
public interface BackEndPlacement {
    /** Returns the place, or nothing when no back end takes requests. */
    Optional<Placement> place(PlacementQuery query);
}
