package org.rattanport.decisions.gateway.placement;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.rattanport.kernel.gateway.EngineShare;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.time.TimeSource;

/**
 * The prefill work that was placed at engines lately, also that of requests that have ended, to
 * explain passes that took long.
 */
final class RecentPrefills {
    /** Time for which work is kept after its predicted end; passes last less. */
    private static final Duration KEPT_TIME = Duration.ofSeconds(2);

    /** Bound of the remembered requests; those of some seconds at a busy coordinator. */
    private static final int MAX_REQUESTS = 1_024;

    /**
     * Time in which prefill work may run, as a multiple of its predicted time. It begins with a
     * pass, and work that is placed later may lengthen that pass.
     */
    private static final double MARGIN_FACTOR = 1.5;

    private static final double NANOS_PER_MILLI = 1e6;

    private record Prefill(EngineWork work, long startNanos, long endNanos) {
        boolean overlaps(long fromNanos, long toNanos) {
            return startNanos - toNanos < 0 && endNanos - fromNanos > 0;
        }
    }

    private final TimeSource mTime;
    private final Map<String, Prefill> mByAttempt = new LinkedHashMap<>();

    RecentPrefills(TimeSource time) {
        mTime = time;
    }

    synchronized void placed(EngineWork work) {
        long now = mTime.nanoTime();
        removeOld(now);
        long end =
                now + (long) (MARGIN_FACTOR * work.predictedFirstEventMillis() * NANOS_PER_MILLI);
        mByAttempt.remove(work.attemptId());
        mByAttempt.put(work.attemptId(), new Prefill(work, now, end));
    }

    /** Removes the oldest requests while they are too old or too many. */
    private void removeOld(long now) {
        while (!mByAttempt.isEmpty()) {
            Map.Entry<String, Prefill> oldest = mByAttempt.entrySet().iterator().next();
            boolean isOld = now - oldest.getValue().endNanos() > KEPT_TIME.toNanos();
            if (!isOld && mByAttempt.size() < MAX_REQUESTS) {
                return;
            }
            mByAttempt.remove(oldest.getKey());
        }
    }

    /** Sums the work at the engine that may have run between two moments. */
    synchronized double millisBetween(
            String engineId, long fromNanos, long toNanos, String withoutAttemptId) {
        return mByAttempt.values().stream()
                .filter(each -> !each.work().attemptId().equals(withoutAttemptId))
                .filter(each -> each.overlaps(fromNanos, toNanos))
                .flatMap(each -> each.work().shares().stream())
                .filter(share -> share.engineId().equals(engineId))
                .mapToDouble(EngineShare::prefillMillis)
                .sum();
    }
}
