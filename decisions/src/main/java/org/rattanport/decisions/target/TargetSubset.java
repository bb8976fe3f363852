package org.rattanport.decisions.target;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.rattanport.kernel.model.RendezvousHash;
import org.rattanport.kernel.model.Target;

/**
 * Selects the subset of engines that one instance polls and uses, so that its traffic and memory do
 * not grow with the fleet. Rendezvous hashing by instance name gives each instance its own subset.
 * A pool that is not larger than the subset is used whole.
 */
public final class TargetSubset {
    public static final int ENGINES_PER_POOL = 24;

    private final String mInstanceName;
    private final int mEnginesPerPool;

    public TargetSubset(String instanceName, int enginesPerPool) {
        mInstanceName = instanceName;
        mEnginesPerPool = enginesPerPool;
    }

    /** Returns the selected engines of every pool. */
    public List<Target> select(List<Target> engines) {
        Map<String, List<Target>> pools =
                engines.stream().collect(Collectors.groupingBy(Target::pool));
        return pools.values().stream().flatMap(pool -> choose(pool).stream()).toList();
    }

    private List<Target> choose(List<Target> pool) {
        if (pool.size() <= mEnginesPerPool) {
            return pool;
        }
        return RendezvousHash.order(mInstanceName, pool, each -> each.id().name())
                .subList(0, mEnginesPerPool);
    }
}
