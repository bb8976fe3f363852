package org.rattanport.decisions.placement;

import java.util.Optional;

/** Chooses an engine for a prompt, or none when the prompt has to wait for capacity. */
public interface PlacementPolicy {
    /** Name of the policy in benchmark settings and results. */
    String name();

    Optional<Placement> choose(PlacementRequest request);
}
