package org.rattanport.decisions.gateway.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.rattanport.kernel.gateway.ColdBound;
import org.rattanport.kernel.gateway.ColdLimit;
import org.rattanport.kernel.time.TimeSource;

/**
 * Sends single requests to cold back ends that have no owner in reach. Each instance has a slot for
 * one request in a random part of the time in which all instances have had one, so that many
 * instances that lose the owner at the same moment do not send at the same moment. A slot that is
 * not used lapses; otherwise unused slots of all instances could be used within one second.
 */
final class ColdFallback {
    /** Time for which a slot may be used. */
    private static final long SLOT_NANOS = 2_000_000_000L;

    /**
     * Instances that are assumed at least, as an instance that has just started or is cut off does
     * not know the others.
     */
    private static final int MIN_INSTANCES = 144;

    private static final double MIN_REQUESTS_PER_SECOND = 0.01;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MAX_SLOTS = 1_000;

    private final ColdPacing mPacing;
    private final TimeSource mTime;
    private final Random mRandom;

    /** When the slot of each back end opens. */
    private final Map<String, Long> mOpenNanos = new HashMap<>();

    ColdFallback(ColdBound bound, TimeSource time, Random random) {
        mPacing = new ColdPacing(bound);
        mTime = time;
        mRandom = random;
    }

    /** Takes the slot of the back end if it is open now. */
    synchronized boolean tryTake(String backEndId, ColdLimit limit, int instances) {
        long now = mTime.nanoTime();
        double rate =
                Math.max(MIN_REQUESTS_PER_SECOND, mPacing.fallbackRate(limit.requestsPerSecond()));
        double roundNanos = NANOS_PER_SECOND * Math.max(MIN_INSTANCES, instances) / rate;
        Long open = mOpenNanos.get(backEndId);
        if (open == null || hasLapsed(open, now)) {
            put(backEndId, now + (long) (roundNanos * mRandom.nextDouble()), now);
            return false;
        }
        if (now - open < 0) {
            return false;
        }
        put(backEndId, now + (long) (roundNanos * (0.5 + mRandom.nextDouble())), now);
        return true;
    }

    private static boolean hasLapsed(long open, long now) {
        return now - open >= SLOT_NANOS;
    }

    private void put(String backEndId, long open, long now) {
        if (mOpenNanos.size() >= MAX_SLOTS) {
            mOpenNanos.values().removeIf(each -> hasLapsed(each, now));
        }
        mOpenNanos.put(backEndId, open);
    }
}
