package org.rattanport.decisions.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.rattanport.decisions.target.EngineBoard.Candidate;
import org.rattanport.kernel.environment.LengthClass;
import org.rattanport.kernel.model.RendezvousHash;

/**
 * Assigns each engine of a pool to the length class that it serves first. The assignment depends
 * only on names and shares, so all instances agree on it without a message.
 */
public final class EngineLanes {
    private final Map<String, Integer> mLanes;

    private EngineLanes(Map<String, Integer> lanes) {
        mLanes = lanes;
    }

    /** Assigns the candidates by the shares of the classes. */
    public static EngineLanes assign(
            String model, List<Candidate> candidates, List<LengthClass> classes) {
        List<String> ordered =
                RendezvousHash.order(
                        "lanes/" + model,
                        candidates.stream().map(each -> each.target().id().name()).toList(),
                        name -> name);
        int totalShare = classes.stream().mapToInt(LengthClass::engineSharePercent).sum();
        Map<String, Integer> lanes = new HashMap<>();
        int shareBefore = 0;
        for (int index = 0; index < classes.size(); index++) {
            int share = classes.get(index).engineSharePercent();
            int from = position(ordered.size(), shareBefore, totalShare);
            int to = position(ordered.size(), shareBefore + share, totalShare);
            for (String name : ordered.subList(from, to)) {
                lanes.put(name, index);
            }
            shareBefore += share;
        }
        return new EngineLanes(lanes);
    }

    /** Index of the class that the engine serves first. */
    public int lane(String engineName) {
        return mLanes.getOrDefault(engineName, 0);
    }

    public boolean hasLane(int lengthClass) {
        return mLanes.containsValue(lengthClass);
    }

    private static int position(int engines, int share, int totalShare) {
        return totalShare == 0 ? engines : (int) Math.round((double) engines * share / totalShare);
    }
}
