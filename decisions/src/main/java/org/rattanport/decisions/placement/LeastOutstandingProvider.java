package org.rattanport.decisions.placement;

import java.util.random.RandomGenerator;
import org.rattanport.decisions.cost.CostModel;
import org.rattanport.decisions.ordering.FirstInFirstOut;
import org.rattanport.decisions.ordering.OrderingPolicy;

/** Registers {@link LeastOutstandingPlacement}. */
public final class LeastOutstandingProvider implements PlacementPolicyProvider {
    @Override
    public String name() {
        return "least-outstanding";
    }

    @Override
    public PlacementPolicy create(CostModel cost, RandomGenerator random) {
        return new LeastOutstandingPlacement(random);
    }

    @Override
    public OrderingPolicy ordering() {
        return new FirstInFirstOut();
    }
}
