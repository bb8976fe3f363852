package org.rattanport.decisions.gateway.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.rattanport.decisions.gateway.limits.RateLimitSimulation.Node;

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
    private final List<String> mSteps = new ArrayList<>();
    private double mLimit;

    RateLimitHistory(long seed) {
        mSeed = seed;
        mRandom = new Random(seed);
        int instances = MIN_INSTANCES + mRandom.nextInt(MAX_INSTANCES - MIN_INSTANCES + 1);
        mFleet = new RateLimitSimulation(seed, instances, DEMAND_PER_SECOND / instances);
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
        String story = " seed " + mSeed + " " + mSteps;
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
        record("limit " + mLimit);
    }

    private void disturb() {
        switch (mRandom.nextInt(9)) {
            case 0 -> nameLimit();
            case 1 -> kill(mFleet.owner());
            case 2 -> kill(anyNode());
            case 3 -> freeze(mFleet.owner());
            case 4 -> freeze(anyNode());
            case 5 -> cut(mFleet.owner(), anyOther(mFleet.owner()));
            case 6 -> cut(anyOther(mFleet.owner()), mFleet.owner());
            case 7 -> {
                record("join");
                mFleet.join();
            }
            default -> part();
        }
    }

    private Node anyNode() {
        return mFleet.nodes().get(mRandom.nextInt(mFleet.nodes().size()));
    }

    private Node anyOther(Node node) {
        List<Node> others = mFleet.nodes().stream().filter(each -> each != node).toList();
        return others.get(mRandom.nextInt(others.size()));
    }

    private Duration someTime() {
        return Duration.ofMillis(50 + mRandom.nextInt(8_000));
    }

    private void kill(Node node) {
        Duration downTime = someTime();
        record("kill " + node.name() + " " + downTime);
        mFleet.kill(node, downTime);
    }

    private void freeze(Node node) {
        Duration duration = someTime();
        boolean stopsClock = mRandom.nextBoolean();
        record("freeze " + node.name() + " " + duration + " " + stopsClock);
        mFleet.freeze(node, stopsClock, duration);
    }

    private void cut(Node from, Node to) {
        Duration duration = someTime();
        record("cut " + from.name() + " " + to.name() + " " + duration);
        mFleet.cut(from, to, duration);
    }

    private void part() {
        List<Node> nodes = new ArrayList<>(mFleet.nodes());
        Collections.shuffle(nodes, mRandom);
        List<Node> side = nodes.subList(0, 1 + mRandom.nextInt(nodes.size() - 1));
        Duration duration = someTime();
        record("part " + side.stream().map(Node::name).toList() + " " + duration);
        mFleet.part(side, duration);
    }

    private void record(String step) {
        mSteps.add(mFleet.now() / 1_000_000 + " " + step);
    }
}
