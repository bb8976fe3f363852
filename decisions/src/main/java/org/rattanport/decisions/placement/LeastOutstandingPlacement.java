package org.rattanport.decisions.placement;

import java.util.Comparator;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.rattanport.decisions.target.EngineLoadTable.Candidate;

/** Baseline: chooses the engine on which this instance has the fewest attempts in flight. */
public final class LeastOutstandingPlacement implements PlacementPolicy {
    private final RandomGenerator mRandom;

    public LeastOutstandingPlacement(RandomGenerator random) {
        mRandom = random;
    }

    @Override
    public String name() {
        return "least-outstanding";
    }

    @Override
    public Optional<Placement> choose(PlacementRequest request) {
        record Scored(Candidate candidate, int outstanding, double tieBreak) {}
        return request.allowed().stream()
                .map(each -> new Scored(each, each.load().outstanding(), mRandom.nextDouble()))
                .min(
                        Comparator.comparingInt(Scored::outstanding)
                                .thenComparingDouble(Scored::tieBreak))
                .map(best -> new Placement(best.candidate().target(), 0, false, 0));
    }
}
