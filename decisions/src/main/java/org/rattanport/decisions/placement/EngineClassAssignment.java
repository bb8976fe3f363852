package org.rattanport.decisions.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.rattanport.decisions.target.EngineLoadTable.Candidate;
import org.rattanport.kernel.environment.LengthClass;
import org.rattanport.kernel.model.RendezvousHash;

/**
 * Assigns each engine of a pool to one length class, which it serves before all others. The
 * assignment depends only on engine names and class shares, so all instances compute the same one
 * without exchanging messages.
 */
public final class EngineClassAssignment {
    private static final double SHARE_OPEN_TO_LONGER_CLASSES = 0.5;

    private final Map<String, Integer> mLengthClasses;
    private final Set<String> mOpenToLongerClasses;

    private EngineClassAssignment(
            Map<String, Integer> lengthClasses, Set<String> openToLongerClasses) {
        mLengthClasses = lengthClasses;
        mOpenToLongerClasses = openToLongerClasses;
    }

    /** Distributes the candidates over the length classes in proportion to the class shares. */
    public static EngineClassAssignment assign(
            String model, List<Candidate> candidates, List<LengthClass> classes) {
        List<String> ordered =
                RendezvousHash.order(
                        "lanes/" + model,
                        candidates.stream().map(each -> each.target().id().name()).toList(),
                        name -> name);
        int totalShare = classes.stream().mapToInt(LengthClass::engineSharePercent).sum();
        Map<String, Integer> lengthClasses = new HashMap<>();
        Set<String> openToLongerClasses = new HashSet<>();
        int shareBefore = 0;
        for (int index = 0; index < classes.size(); index++) {
            int share = classes.get(index).engineSharePercent();
            int from = boundary(ordered.size(), shareBefore, totalShare);
            int to = boundary(ordered.size(), shareBefore + share, totalShare);
            for (String name : ordered.subList(from, to)) {
                lengthClasses.put(name, index);
            }
            int openCount = (int) ((to - from) * SHARE_OPEN_TO_LONGER_CLASSES);
            openToLongerClasses.addAll(ordered.subList(to - openCount, to));
            shareBefore += share;
        }
        return new EngineClassAssignment(lengthClasses, openToLongerClasses);
    }

    /** Index of the length class that the engine is assigned to. */
    public int lengthClass(String engineName) {
        return mLengthClasses.getOrDefault(engineName, 0);
    }

    /**
     * Whether longer classes may borrow the engine. The other engines of its class run no longer
     * prompts, so the class always finds engines that a long prompt does not block.
     */
    public boolean acceptsLongerClasses(String engineName) {
        return mOpenToLongerClasses.contains(engineName);
    }

    /** Whether at least one engine is assigned to the length class. */
    public boolean hasEngines(int lengthClass) {
        return mLengthClasses.containsValue(lengthClass);
    }

    private static int boundary(int engines, int share, int totalShare) {
        return totalShare == 0 ? engines : (int) Math.round((double) engines * share / totalShare);
    }
}
