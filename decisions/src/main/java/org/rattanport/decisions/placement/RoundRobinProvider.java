package org.rattanport.decisions.placement;

import java.util.random.RandomGenerator;
import org.rattanport.decisions.cost.CostModel;
import org.rattanport.decisions.ordering.FirstInFirstOut;
import org.rattanport.decisions.ordering.OrderingPolicy;

/** Registers {@link RoundRobinPlacement}. */
public final class RoundRobinProvider implements PlacementPolicyProvider {
    @Override
    public String name() {
        return "round-robin";
    }

    @Override
    public PlacementPolicy create(CostModel cost, RandomGenerator random) {
        return new RoundRobinPlacement();
    }

    @Override
    public OrderingPolicy ordering() {
        return new FirstInFirstOut();
    }
}
