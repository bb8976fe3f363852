package org.rattanport.decisions.gateway.placement;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.rattanport.kernel.gateway.EngineGroup;

/** Remembers the group of each engine, as each decision needs that of all engines. */
final class EngineGroupIndex {
    /** Remembered engines of one number of groups; past and present ones of a large fleet. */
    private static final int MAX_ENGINES = 4_096;

    private record Assignment(int count, Map<String, Integer> indexes) {}

    private volatile Assignment mAssignment = new Assignment(1, Map.of());

    boolean contains(EngineGroup group, String engineId) {
        if (group.count() <= 1) {
            return true;
        }
        Assignment assignment = mAssignment;
        boolean isUsable =
                assignment.count() == group.count() && assignment.indexes().size() < MAX_ENGINES;
        if (!isUsable) {
            assignment = new Assignment(group.count(), new ConcurrentHashMap<>());
            mAssignment = assignment;
        }
        return assignment
                        .indexes()
                        .computeIfAbsent(engineId, id -> EngineGroup.indexOf(id, group.count()))
                == group.index();
    }
}
