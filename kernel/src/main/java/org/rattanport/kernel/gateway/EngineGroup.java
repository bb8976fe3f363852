package org.rattanport.kernel.gateway;

import org.rattanport.kernel.model.RendezvousHash;

/**
 * One of the groups into which the engines of a service are divided. A change of the number of
 * groups moves few engines between the groups that remain.
 *
 * @param index index of the group, below the count
 * @param count number of groups
 */
public record EngineGroup(int index, int count) {
    /** The group of all engines. */
    public static final EngineGroup ALL = new EngineGroup(0, 1);

    /** Whether the engine belongs to this group. */
    public boolean contains(String engineId) {
        return count <= 1 || indexOf(engineId, count) == index;
    }

    /** Returns the index of the group that the engine belongs to. */
    public static int indexOf(String engineId, int count) {
        int best = 0;
        long bestWeight = Long.MIN_VALUE;
        for (int i = 0; i < count; i++) {
            long weight = RendezvousHash.weight(Integer.toString(i), engineId);
            if (weight > bestWeight) {
                best = i;
                bestWeight = weight;
            }
        }
        return best;
    }
}
