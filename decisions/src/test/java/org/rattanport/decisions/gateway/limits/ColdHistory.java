package org.rattanport.decisions.gateway.limits;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;

/** A random history of a fleet and of back ends that become cold, replayed by its seed. */
final class ColdHistory {
    private static final int MIN_INSTANCES = 15;
    private static final int MAX_INSTANCES = 40;
    private static final int BACK_ENDS = 12;
    private static final int KINDS = 4;
    private static final double DEMAND_PER_SECOND = 120;
    private static final int EVENTS = 20;
    private static final Duration SETTLING_TIME = Duration.ofSeconds(25);
    private static final Duration QUIET_TIME = Duration.ofSeconds(20);

    /** Smallest share of the rate that must be used once nothing happens any more. */
    private static final double MIN_USED = 0.8;

    private final long mSeed;
    private final Random mRandom;
    private final ColdFleet mCold;
    private final FleetDisruptions mDisruptions;

    ColdHistory(long seed) {
        mSeed = seed;
        mRandom = new Random(seed);
        int instances = MIN_INSTANCES + mRandom.nextInt(MAX_INSTANCES - MIN_INSTANCES + 1);
        mCold =
                new ColdFleet(
                        seed, instances, DEMAND_PER_SECOND, BACK_ENDS, ColdFleet.Choice.FIRST_COLD);
        mDisruptions = new FleetDisruptions(mCold.fleet(), mRandom);
    }

    /** Plays the history; returns what was wrong, if anything. */
    Optional<String> play() {
        mCold.run(Duration.ofSeconds(5));
        for (int i = 0; i < EVENTS; i++) {
            disturb();
            mCold.run(Duration.ofMillis(mRandom.nextInt(3_000)));
        }
        mCold.run(SETTLING_TIME);
        String last = ColdFleet.id(0);
        mCold.restart(last, SETTLING_TIME.plus(QUIET_TIME));
        mCold.run(Duration.ofSeconds(5));
        long before = mCold.rule(last).arrivals();
        mCold.run(QUIET_TIME);
        double used =
                (mCold.rule(last).arrivals() - before)
                        / (ColdFleet.COLD_PER_SECOND * QUIET_TIME.toSeconds());
        String story = " seed " + mSeed + " " + mDisruptions.steps();
        if (mCold.mostArrivals() > ColdRule.allowed(ColdFleet.COLD_PER_SECOND)) {
            return Optional.of(mCold.mostArrivals() + " requests in a second," + story);
        }
        return used < MIN_USED ? Optional.of("used " + used + story) : Optional.empty();
    }

    private void disturb() {
        String id = ColdFleet.id(mRandom.nextInt(BACK_ENDS));
        int kind = mRandom.nextInt(KINDS + FleetDisruptions.KINDS);
        switch (kind) {
            case 0 -> {
                Duration duration = mDisruptions.someTime();
                mDisruptions.record("cold " + id + " " + duration);
                mCold.makeCold(id, duration);
            }
            case 1 -> {
                mDisruptions.record("warm " + id);
                mCold.makeCold(id, Duration.ZERO);
            }
            case 2 -> {
                Duration duration = mDisruptions.someTime();
                mDisruptions.record("restart " + id + " " + duration);
                mCold.restart(id, duration);
            }
            case 3 -> {
                RateLimitSimulation.Node node = mDisruptions.anyNode();
                Duration duration = mDisruptions.someTime();
                mDisruptions.record("without store " + node.name() + " " + duration);
                mCold.cutFromStore(node, duration);
            }
            default -> mDisruptions.cause(kind - KINDS, id);
        }
    }
}
