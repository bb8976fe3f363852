package org.rattanport.decisions.gateway.limits;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;

/** A random history of a fleet and of the limits that a back end names, replayed by its seed. */
final class RateLimitHistory {
    private static final double[] LIMITS = {0, 0.2, 0.5, 1, 3, 10, 30};
    private static final int MIN_INSTANCES = 3;
    private static final int MAX_INSTANCES = 20;
    private static final double DEMAND_PER_SECOND = 120;
    private static final int EVENTS = 16;
    private static final Duration SETTLING_TIME = Duration.ofSeconds(25);
    private static final Duration QUIET_TIME = Duration.ofSeconds(40);

    /** Smallest share of the limit that must be used once nothing happens any more. */
    private static final double MIN_USED = 0.8;

    private final long mSeed;
    private final Random mRandom;
    private final RateLimitSimulation mFleet;
    private final FleetDisruptions mDisruptions;
    private double mLimit;

    RateLimitHistory(long seed) {
        mSeed = seed;
        mRandom = new Random(seed);
        int instances = MIN_INSTANCES + mRandom.nextInt(MAX_INSTANCES - MIN_INSTANCES + 1);
        mFleet = new RateLimitSimulation(seed, instances, DEMAND_PER_SECOND / instances);
        mDisruptions = new FleetDisruptions(mFleet, mRandom);
    }

    /** Plays the history; returns what was wrong, if anything. */
    Optional<String> play() {
        nameLimit();
        mFleet.run(Duration.ofSeconds(5));
        for (int i = 0; i < EVENTS; i++) {
            disturb();
            mFleet.run(Duration.ofMillis(mRandom.nextInt(4_000)));
        }
        mFleet.run(SETTLING_TIME);
        long from = mFleet.now();
        mFleet.run(QUIET_TIME);
        double used = mFleet.arrivalsSince(from) / (mLimit * QUIET_TIME.toSeconds());
        String story = " seed " + mSeed + " " + mDisruptions.steps();
        Optional<RateLimitRule.Excess> excess = mFleet.worstExcess();
        if (excess.isPresent()) {
            return Optional.of(excess.get() + story);
        }
        return mLimit > 0 && used < MIN_USED
                ? Optional.of("used " + used + story)
                : Optional.empty();
    }

    private void nameLimit() {
        mLimit = LIMITS[mRandom.nextInt(LIMITS.length)];
        mFleet.name(Optional.of(mLimit));
        mDisruptions.record("limit " + mLimit);
    }

    private void disturb() {
        int kind = mRandom.nextInt(1 + FleetDisruptions.KINDS);
        if (kind == 0) {
            nameLimit();
        } else {
            mDisruptions.cause(kind - 1, RateLimitSimulation.BACK_END);
        }
    }
}
