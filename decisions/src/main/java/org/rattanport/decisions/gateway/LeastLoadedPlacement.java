package org.rattanport.decisions.gateway;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.rattanport.kernel.gateway.BackEnd;

/** Sends a request of a plain service to the back end with the most free slots. */
public final class LeastLoadedPlacement implements BackEndPlacement {
    /**
     * Breaks near ties, in slot shares: cost of a back end in another zone, and bound of the random
     * cost.
     */
    private static final double TIE_BREAK_COST = 0.1;

    private final String mZone;
    private final BackEndRegistry mRegistry;
    private final BackEndHealth mHealth;
    private final LoadTable mLoadTable;
    private final Random mRandom;

    public LeastLoadedPlacement(
            String zone,
            BackEndRegistry registry,
            BackEndHealth health,
            LoadTable loadTable,
            Random random) {
        mZone = zone;
        mRegistry = registry;
        mHealth = health;
        mLoadTable = loadTable;
        mRandom = random;
    }

    @Override
    public Optional<Placement> place(PlacementQuery query) {
        List<BackEnd> candidates =
                mRegistry.available(query.service().name()).stream()
                        .filter(each -> !query.excluded().contains(each.id()))
                        .toList();
        return candidates.stream()
                .min(Comparator.comparingDouble(this::cost))
                .map(each -> new Placement(each, List.of(), List.of(), Optional.empty()));
    }

    private double cost(BackEnd backEnd) {
        double utilization =
                mLoadTable.estimatedRequests(backEnd.id()) / Math.max(1, backEnd.slots());
        double zoneCost = backEnd.dataCentre().equals(mZone) ? 0 : TIE_BREAK_COST;
        return utilization
                + zoneCost
                + mHealth.failureWeight(backEnd.id())
                + TIE_BREAK_COST * mRandom.nextDouble();
    }
}
