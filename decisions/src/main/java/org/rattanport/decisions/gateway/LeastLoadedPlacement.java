package org.rattanport.decisions.gateway;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.rattanport.kernel.gateway.BackEnd;

/** Sends a request of a plain service to the back end with the most free places. */
public final class LeastLoadedPlacement implements BackEndPlacement {
    /** Nearness breaks near ties: a tenth of a place. */
    private static final double NEARNESS = 0.1;

    private final String mZone;
    private final BackEndRegister mRegister;
    private final BackEndHealth mHealth;
    private final LoadBoard mLoads;
    private final Random mRandom;

    public LeastLoadedPlacement(
            String zone,
            BackEndRegister register,
            BackEndHealth health,
            LoadBoard loads,
            Random random) {
        mZone = zone;
        mRegister = register;
        mHealth = health;
        mLoads = loads;
        mRandom = random;
    }

    @Override
    public Optional<Placement> place(PlacementQuery query) {
        List<BackEnd> candidates =
                mRegister.of(query.service().name()).stream()
                        .filter(each -> !query.excluded().contains(each.id()))
                        .toList();
        return candidates.stream()
                .min(Comparator.comparingDouble(this::cost))
                .map(each -> new Placement(each, List.of(), List.of(), Optional.empty()));
    }

    private double cost(BackEnd backEnd) {
        double busy = mLoads.busyPlaces(backEnd.id()) / Math.max(1, backEnd.slots());
        double far = backEnd.zone().equals(mZone) ? 0 : NEARNESS;
        return busy + far + mHealth.weight(backEnd.id()) + NEARNESS * mRandom.nextDouble();
    }
}
