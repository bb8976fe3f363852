package org.rattanport.decisions.placement;

import java.util.Optional;

/** Chooses an engine for a prompt, or none when it should wait for capacity. */
public interface PlacementPolicy {
    /** Name in settings of measurements and in figures. */
    String name();

    Optional<Placement> choose(PlacementRequest request);
}
