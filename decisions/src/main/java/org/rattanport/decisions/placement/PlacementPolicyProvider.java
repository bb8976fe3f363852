package org.rattanport.decisions.placement;

import java.util.random.RandomGenerator;
import org.rattanport.decisions.cost.CostModel;

/** Registers a placement policy; loaded with {@link java.util.ServiceLoader}. */
public interface PlacementPolicyProvider {
    /** Name by which settings choose the policy. */
    String name();

    PlacementPolicy create(CostModel cost, RandomGenerator random);

    /** The ordering of waiting attempts that this placement policy is combined with. */
    org.rattanport.decisions.ordering.OrderingPolicy ordering();
}
