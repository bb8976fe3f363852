package org.rattanport.decisions.gateway.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.rattanport.decisions.gateway.discovery.BackEndRegistry;
import org.rattanport.kernel.gateway.BackEnd;

/** Sends a request of a plain service to the back end with the most free slots. */
public final class LeastLoadedPlacement implements BackEndPlacement {
    /**
     * Cost of a back end in another data centre, and bound of the random cost, as a fraction of the
     * slots of a back end; small, so that both only break near ties.
     */
    private static final double TIE_BREAK_COST = 0.1;

    private final String mDataCentre;
    private final BackEndRegistry mRegistry;
    private final BackEndHealth mHealth;
    private final LoadTable mLoadTable;
    private final Random mRandom;

    public LeastLoadedPlacement(
            String dataCentre,
            BackEndRegistry registry,
            BackEndHealth health,
            LoadTable loadTable,
            Random random) {
        mDataCentre = dataCentre;
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
                .map(each -> new Placement(each, List.of(), List.of(), Optional.empty(), 0));
    }

    private double cost(BackEnd backEnd) {
        double utilization =
                mLoadTable.estimatedRequests(backEnd.id()) / Math.max(1, backEnd.slots());
        double distanceCost = backEnd.dataCentre().equals(mDataCentre) ? 0 : TIE_BREAK_COST;
        return utilization
                + distanceCost
                + mHealth.failureWeight(backEnd.id())
                + TIE_BREAK_COST * mRandom.nextDouble();
    }
}
