package org.rattanport.decisions.placement;

import java.util.random.RandomGenerator;
import org.rattanport.decisions.cost.CostModel;
import org.rattanport.decisions.ordering.OrderingPolicy;
import org.rattanport.decisions.ordering.WeightedAgeing;

/** Registers {@link LengthAwarePlacement}. */
public final class LengthAwareProvider implements PlacementPolicyProvider {
    @Override
    public String name() {
        return "length-aware";
    }

    @Override
    public PlacementPolicy create(CostModel cost, RandomGenerator random) {
        return new LengthAwarePlacement(cost, random);
    }

    @Override
    public OrderingPolicy ordering() {
        return new WeightedAgeing();
    }
}
