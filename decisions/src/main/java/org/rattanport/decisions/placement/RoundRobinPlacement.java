package org.rattanport.decisions.placement;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.rattanport.decisions.target.EngineLoadTable.Candidate;

/** Baseline: chooses the engines in turn, regardless of load, prompt length and priority. */
public final class RoundRobinPlacement implements PlacementPolicy {
    private final AtomicInteger mNext = new AtomicInteger();

    @Override
    public String name() {
        return "round-robin";
    }

    @Override
    public Optional<Placement> choose(PlacementRequest request) {
        List<Candidate> allowed = request.allowed();
        if (allowed.isEmpty()) {
            return Optional.empty();
        }
        int index = Math.floorMod(mNext.getAndIncrement(), allowed.size());
        return Optional.of(new Placement(allowed.get(index).target(), 0, false, 0));
    }
}
