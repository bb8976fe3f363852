package org.rattanport.decisions.gateway.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.rattanport.decisions.gateway.limits.RateLimitSimulation.Node;

/** Random disruptions of a fleet, and a record of what happened. */
final class FleetDisruptions {
    /** Number of kinds of disruptions. */
    static final int KINDS = 8;

    private final RateLimitSimulation mFleet;
    private final Random mRandom;
    private final List<String> mSteps = new ArrayList<>();

    FleetDisruptions(RateLimitSimulation fleet, Random random) {
        mFleet = fleet;
        mRandom = random;
    }

    /** Causes a disruption of this kind; some concern the owner of the back end's tokens. */
    void cause(int kind, String backEndId) {
        switch (kind) {
            case 0 -> kill(mFleet.owner(backEndId));
            case 1 -> kill(anyNode());
            case 2 -> freeze(mFleet.owner(backEndId));
            case 3 -> freeze(anyNode());
            case 4 -> cut(mFleet.owner(backEndId), anyOther(mFleet.owner(backEndId)));
            case 5 -> cut(anyOther(mFleet.owner(backEndId)), mFleet.owner(backEndId));
            case 6 -> {
                record("join");
                mFleet.join();
            }
            default -> part();
        }
    }

    Node anyNode() {
        return mFleet.nodes().get(mRandom.nextInt(mFleet.nodes().size()));
    }

    private Node anyOther(Node node) {
        List<Node> others = mFleet.nodes().stream().filter(each -> each != node).toList();
        return others.get(mRandom.nextInt(others.size()));
    }

    Duration someTime() {
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

    void record(String step) {
        mSteps.add(mFleet.now() / 1_000_000 + " " + step);
    }

    /** What happened, and when. */
    List<String> steps() {
        return mSteps;
    }
}
