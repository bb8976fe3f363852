package org.rattanport.decisions.placement;

import java.util.random.RandomGenerator;
import org.rattanport.decisions.cost.CostModel;

/** Registers a placement policy; found with {@link java.util.ServiceLoader}. */
public interface PlacementPolicyProvider {
    /** Name by which settings choose the policy. */
    String name();

    PlacementPolicy create(CostModel cost, RandomGenerator random);

    /** Order of waiting attempts that goes with the placement. */
    org.rattanport.decisions.ordering.OrderingPolicy ordering();
}
