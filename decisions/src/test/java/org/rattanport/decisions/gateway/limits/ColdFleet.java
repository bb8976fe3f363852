package org.rattanport.decisions.gateway.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.rattanport.decisions.gateway.limits.RateLimitSimulation.Node;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.RateLimit;
import org.rattanport.kernel.gateway.RateLimitEvent;
import org.rattanport.kernel.gateway.ResponseHead;

/**
 * A fleet before back ends that become cold, in virtual time. Back ends write their entries once in
 * a heartbeat, and instances learn them with a random delay.
 */
final class ColdFleet {
    static final double COLD_PER_SECOND = 26;

    private static final Duration HEARTBEAT = Duration.ofMillis(1_200);
    private static final int MIN_ENTRY_DELAY_MILLIS = 20;
    private static final int MAX_ENTRY_DELAY_MILLIS = 600;
    private static final int MAX_NETWORK_MILLIS = 50;

    /** Back ends that one request tries, as forwarding does. */
    private static final int MAX_TRIES = 8;

    /** Tries after which a request avoids limited back ends, as forwarding does. */
    private static final int MAX_HELD_BACK = 3;

    /** How a request chooses among the back ends that take it. */
    enum Choice {
        /** The first one that the instance knows to be cold, against the wish to spare it. */
        FIRST_COLD,
        /** Any, with the part of the cold ones that forwarding gives them. */
        ANY
    }

    /** An entry of the registry and its place in the order of writes. */
    private record Entry(BackEnd backEnd, long version) {}

    /** A back end and what its present run got. */
    private final class SimulatedBackEnd {
        private BackEnd mRun;
        private long mColdUntilNanos;
        private ColdRule mRule = new ColdRule();
        private Optional<RateLimit> mNamed = Optional.empty();

        private SimulatedBackEnd(String id) {
            mRun = new BackEnd(id, 1, "engines", "10.0.0.1:80", "zone", 8, false);
        }

        private Duration coldLeft() {
            return Duration.ofNanos(Math.max(0, mColdUntilNanos - mFleet.now()));
        }

        private void writeEntry() {
            Entry entry = new Entry(mRun.withColdLeft(coldLeft()), mVersion++);
            mStore.put(mRun.id(), entry);
            mFleet.nodes().stream()
                    .filter(node -> !mWithoutStore.contains(node.name()))
                    .forEach(node -> mFleet.after(entryDelay(), () -> learn(node, entry)));
        }

        private void scheduleHeartbeat(Duration delay) {
            mFleet.after(
                    delay,
                    () -> {
                        writeEntry();
                        scheduleHeartbeat(HEARTBEAT);
                    });
        }
    }

    /** What one run of an instance knows of the registry. */
    private record Knowledge(RateLimitInstance instance, Map<String, Entry> entries) {}

    private final Random mRandom;
    private final RateLimitSimulation mFleet;
    private final Choice mChoice;
    private final Map<String, SimulatedBackEnd> mBackEnds = new LinkedHashMap<>();
    private final Map<String, Entry> mStore = new LinkedHashMap<>();
    private final Map<String, Knowledge> mKnowledge = new HashMap<>();
    private final Set<String> mWithoutStore = new HashSet<>();
    private final List<ColdRule> mRules = new ArrayList<>();
    private double mColdPerSecond = COLD_PER_SECOND;
    private long mVersion;
    private long mRefused;

    ColdFleet(long seed, int instances, double requestsPerSecond, int backEnds, Choice choice) {
        mRandom = new Random(seed);
        mChoice = choice;
        mFleet =
                new RateLimitSimulation(
                        seed, instances, requestsPerSecond / instances, this::request);
        IntStream.range(0, backEnds).forEach(i -> add("engine-" + i));
    }

    private void add(String id) {
        SimulatedBackEnd backEnd = new SimulatedBackEnd(id);
        mBackEnds.put(id, backEnd);
        mRules.add(backEnd.mRule);
        backEnd.writeEntry();
        backEnd.scheduleHeartbeat(Duration.ofMillis(mRandom.nextInt((int) HEARTBEAT.toMillis())));
    }

    private Duration entryDelay() {
        return Duration.ofMillis(
                MIN_ENTRY_DELAY_MILLIS
                        + mRandom.nextInt(MAX_ENTRY_DELAY_MILLIS - MIN_ENTRY_DELAY_MILLIS));
    }

    /** An instance that has just started has read all entries before its first request. */
    private Knowledge knowledge(Node node) {
        Knowledge known = mKnowledge.get(node.name());
        if (known != null && known.instance() == node.instance()) {
            return known;
        }
        Knowledge created = new Knowledge(node.instance(), new LinkedHashMap<>());
        mKnowledge.put(node.name(), created);
        node.instance().setColdPerSecond(mColdPerSecond);
        mStore.values().forEach(entry -> learn(node, entry));
        return created;
    }

    private void learn(Node node, Entry entry) {
        if (!node.isRunning()) {
            return;
        }
        Map<String, Entry> entries = knowledge(node).entries();
        String id = entry.backEnd().id();
        Entry known = entries.get(id);
        if (known == null || known.version() < entry.version()) {
            entries.put(id, entry);
            node.instance().limits().recordRegistered(entry.backEnd());
        }
    }

    private void request(Node node) {
        BackEndRateLimits limits = node.instance().limits();
        List<BackEnd> untried =
                new ArrayList<>(
                        knowledge(node).entries().values().stream().map(Entry::backEnd).toList());
        for (int i = 0; i < MAX_TRIES; i++) {
            List<BackEnd> candidates = untried.stream().filter(limits::accepts).toList();
            if (candidates.isEmpty()) {
                break;
            }
            BackEnd chosen =
                    choose(limits, i < MAX_HELD_BACK ? candidates : free(limits, candidates));
            untried.remove(chosen);
            if (limits.tryUse(chosen, 1, () -> untried.stream().allMatch(limits::isCold))) {
                send(node, chosen);
                return;
            }
        }
        mRefused++;
    }

    /** The back ends that need no tokens, unless all need them. */
    private static List<BackEnd> free(BackEndRateLimits limits, List<BackEnd> candidates) {
        List<BackEnd> free = candidates.stream().filter(e -> !limits.isLimited(e)).toList();
        return free.isEmpty() ? candidates : free;
    }

    private BackEnd choose(BackEndRateLimits limits, List<BackEnd> candidates) {
        if (mChoice == Choice.FIRST_COLD) {
            return candidates.stream()
                    .filter(limits::isCold)
                    .findFirst()
                    .orElseGet(() -> any(candidates));
        }
        Set<String> avoided = limits.avoidableCold(candidates);
        return any(candidates.stream().filter(each -> !avoided.contains(each.id())).toList());
    }

    private BackEnd any(List<BackEnd> backEnds) {
        return backEnds.get(mRandom.nextInt(backEnds.size()));
    }

    private void send(Node node, BackEnd backEnd) {
        RateLimitInstance sender = node.instance();
        ClockReading written = ClockReading.now(node.clock());
        mFleet.after(
                Duration.ofMillis(mRandom.nextInt(MAX_NETWORK_MILLIS)),
                () -> {
                    SimulatedBackEnd receiver = mBackEnds.get(backEnd.id());
                    // Another run answers with 421, which does not count.
                    if (receiver.mRun.isSameRun(backEnd)) {
                        receiver.mRule.recordArrival(
                                mFleet.now(), receiver.coldLeft().isPositive());
                        ResponseHead head =
                                ResponseHead.builder(200).rateLimit(receiver.mNamed).build();
                        sender.limits().recordResponse(backEnd, head, written);
                    }
                });
    }

    RateLimitSimulation fleet() {
        return mFleet;
    }

    void run(Duration duration) {
        mFleet.run(duration);
    }

    static String id(int index) {
        return "engine-" + index;
    }

    /** The back end is cold for this time from now on; its next entry says so. */
    void makeCold(String id, Duration duration) {
        mBackEnds.get(id).mColdUntilNanos = mFleet.now() + duration.toNanos();
    }

    /** The back end names this limit in its responses from now on. */
    void name(String id, double requestsPerSecond) {
        mBackEnds.get(id).mNamed = RateLimit.of(requestsPerSecond);
    }

    /** The back end starts again, cold, and registers. */
    void restart(String id, Duration duration) {
        SimulatedBackEnd backEnd = mBackEnds.get(id);
        BackEnd old = backEnd.mRun;
        backEnd.mRun =
                new BackEnd(
                        id,
                        old.startWallMillis() + 1,
                        old.service(),
                        old.address(),
                        old.dataCentre(),
                        old.slots(),
                        false);
        backEnd.mRule = new ColdRule();
        mRules.add(backEnd.mRule);
        makeCold(id, duration);
        backEnd.writeEntry();
    }

    /** The instance learns no entries for a time. */
    void cutFromStore(Node node, Duration duration) {
        mWithoutStore.add(node.name());
        mFleet.after(duration, () -> mWithoutStore.remove(node.name()));
    }

    /** A document with this bound takes effect at the instance. */
    void setColdPerSecond(Node node, double requestsPerSecond) {
        mColdPerSecond = requestsPerSecond;
        knowledge(node).instance().setColdPerSecond(requestsPerSecond);
    }

    /** What the present run of the back end got. */
    ColdRule rule(String id) {
        return mBackEnds.get(id).mRule;
    }

    /** Most requests that a cold back end got within a second. */
    int mostArrivals() {
        return mRules.stream().mapToInt(ColdRule::mostArrivals).max().orElse(0);
    }

    long arrivals() {
        return mRules.stream().mapToLong(ColdRule::arrivals).sum();
    }

    long coldArrivals() {
        return mRules.stream().mapToLong(ColdRule::coldArrivals).sum();
    }

    /** Requests that no back end took. */
    long refused() {
        return mRefused;
    }

    /** Requests that instances sent without a token. */
    long fallbacks() {
        return mFleet.nodes().stream()
                .flatMap(node -> node.instance().events().stream())
                .filter(event -> event.kind() == RateLimitEvent.Kind.FALLBACK)
                .count();
    }
}
