package org.rattanport.decisions.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.rattanport.kernel.time.TimeSource;

/**
 * Judges back ends by what became of the requests sent there. A failure counts for some seconds, so
 * a back end that serves again is found out by a share of the requests and not by all at once.
 */
public final class BackEndHealth {
    /** Time in which the weight of a failure halves; an engine restarts within some seconds. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(2);

    /** Weight above which a back end gets requests only when no other is left. */
    private static final double UNHEALTHY_WEIGHT = 0.9;

    /** Weight below which a failure is forgotten. */
    private static final double EXPIRED_WEIGHT = 0.02;

    private record FailureWeight(double weight, long recordedNanos) {}

    private final TimeSource mTime;
    private final Map<String, FailureWeight> mFailureWeights = new HashMap<>();

    public BackEndHealth(TimeSource time) {
        mTime = time;
    }

    /** Records a failure; a refused connection weighs more than a failed request. */
    public synchronized void recordFailure(String id, double weight) {
        mFailureWeights.put(id, new FailureWeight(failureWeight(id) + weight, mTime.nanoTime()));
    }

    /** Records a request that was answered well. */
    public synchronized void recordSuccess(String id) {
        if (mFailureWeights.containsKey(id)) {
            mFailureWeights.put(id, new FailureWeight(failureWeight(id) / 2, mTime.nanoTime()));
        }
    }

    /** Recent failures, each weighing less with time. */
    public synchronized double failureWeight(String id) {
        FailureWeight recorded = mFailureWeights.get(id);
        if (recorded == null) {
            return 0;
        }
        double halfLives =
                (mTime.nanoTime() - recorded.recordedNanos()) / (double) HALF_LIFE.toNanos();
        double weight = recorded.weight() * Math.pow(0.5, halfLives);
        if (weight < EXPIRED_WEIGHT) {
            mFailureWeights.remove(id);
            return 0;
        }
        return weight;
    }

    public boolean isUnhealthy(String id) {
        return failureWeight(id) > UNHEALTHY_WEIGHT;
    }
}
