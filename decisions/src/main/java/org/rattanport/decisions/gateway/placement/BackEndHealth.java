package org.rattanport.decisions.gateway.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.rattanport.kernel.time.TimeSource;

/**
 * Rates back ends by the outcomes of recent requests. The weight of a failure decays within
 * seconds, so a recovered back end gets a growing share of the requests instead of all of them at
 * once.
 */
public final class BackEndHealth {
    /** Time in which the weight of a failure halves; an engine restarts within a few seconds. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(2);

    /**
     * Failure weight above which a back end gets requests only when no healthy one is available.
     */
    private static final double UNHEALTHY_WEIGHT = 0.9;

    /** Failure weight below which the record of a back end is discarded. */
    private static final double EXPIRED_WEIGHT = 0.02;

    private record FailureWeight(double weight, long recordedNanos) {}

    private final TimeSource mTime;
    private final Map<String, FailureWeight> mFailureWeights = new HashMap<>();

    public BackEndHealth(TimeSource time) {
        mTime = time;
    }

    /** Records a failure; callers give a refused connection more weight than a failed request. */
    public synchronized void recordFailure(String id, double weight) {
        mFailureWeights.put(id, new FailureWeight(failureWeight(id) + weight, mTime.nanoTime()));
    }

    /** Records a successful request, which halves the current failure weight. */
    public synchronized void recordSuccess(String id) {
        if (mFailureWeights.containsKey(id)) {
            mFailureWeights.put(id, new FailureWeight(failureWeight(id) / 2, mTime.nanoTime()));
        }
    }

    /** Returns the sum of the recent failures' weights, each decayed by its age. */
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
