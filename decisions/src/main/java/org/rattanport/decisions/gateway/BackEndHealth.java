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
    private static final double AVOIDED = 0.9;

    /** Weight below which a failure is forgotten. */
    private static final double FORGOTTEN = 0.02;

    private record Mark(double weight, long nanos) {}

    private final TimeSource mTime;
    private final Map<String, Mark> mMarks = new HashMap<>();

    public BackEndHealth(TimeSource time) {
        mTime = time;
    }

    /** Records a failure; a refused connection weighs more than a failed request. */
    public synchronized void failed(String id, double weight) {
        mMarks.put(id, new Mark(weight(id) + weight, mTime.nanoTime()));
    }

    /** Records a request that was answered well. */
    public synchronized void succeeded(String id) {
        if (mMarks.containsKey(id)) {
            mMarks.put(id, new Mark(weight(id) / 2, mTime.nanoTime()));
        }
    }

    /** Recent failures, each weighing less with time. */
    public synchronized double weight(String id) {
        Mark mark = mMarks.get(id);
        if (mark == null) {
            return 0;
        }
        double halves = (mTime.nanoTime() - mark.nanos()) / (double) HALF_LIFE.toNanos();
        double weight = mark.weight() * Math.pow(0.5, halves);
        if (weight < FORGOTTEN) {
            mMarks.remove(id);
            return 0;
        }
        return weight;
    }

    public boolean isAvoided(String id) {
        return weight(id) > AVOIDED;
    }
}
