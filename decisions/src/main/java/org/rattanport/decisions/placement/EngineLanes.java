package org.rattanport.decisions.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.rattanport.decisions.target.EngineBoard.Candidate;
import org.rattanport.kernel.environment.LengthClass;
import org.rattanport.kernel.model.RendezvousHash;

/**
 * Assigns each engine of a pool to the length class that it serves first. The assignment depends
 * only on names and shares, so all instances agree on it without a message.
 */
public final class EngineLanes {
    private static final double SHARE_OPEN_TO_LONGER_CLASSES = 0.5;

    private final Map<String, Integer> mLengthClasses;
    private final Set<String> mOpenToLongerClasses;

    private EngineLanes(Map<String, Integer> lanes, Set<String> open) {
        mLengthClasses = lanes;
        mOpenToLongerClasses = open;
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
        Set<String> open = new HashSet<>();
        int shareBefore = 0;
        for (int index = 0; index < classes.size(); index++) {
            int share = classes.get(index).engineSharePercent();
            int from = boundary(ordered.size(), shareBefore, totalShare);
            int to = boundary(ordered.size(), shareBefore + share, totalShare);
            for (String name : ordered.subList(from, to)) {
                lanes.put(name, index);
            }
            int openCount = (int) ((to - from) * SHARE_OPEN_TO_LONGER_CLASSES);
            open.addAll(ordered.subList(to - openCount, to));
            shareBefore += share;
        }
        return new EngineLanes(lanes, open);
    }

    /** Index of the class that the engine serves first. */
    public int lengthClass(String engineName) {
        return mLengthClasses.getOrDefault(engineName, 0);
    }

    /**
     * Whether longer classes may borrow the engine. The other engines of a lane stay free of them,
     * so that its own class always finds some without a long prompt.
     */
    public boolean acceptsLongerClasses(String engineName) {
        return mOpenToLongerClasses.contains(engineName);
    }

    public boolean hasEngines(int lengthClass) {
        return mLengthClasses.containsValue(lengthClass);
    }

    private static int boundary(int engines, int share, int totalShare) {
        return totalShare == 0 ? engines : (int) Math.round((double) engines * share / totalShare);
    }
}
