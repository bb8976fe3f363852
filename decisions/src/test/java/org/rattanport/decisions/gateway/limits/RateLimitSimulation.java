package org.rattanport.decisions.gateway.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.rattanport.decisions.gateway.limits.RateLimitRule.Arrival;
import org.rattanport.decisions.gateway.placement.CoordinatorDirectory;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.RateLimit;
import org.rattanport.kernel.gateway.ResponseHead;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.peer.PeerHandler;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.TimeSource;

/**
 * A fleet of instances under full demand before one back end that names limits, in virtual time.
 * Instances learn states of others with a random delay, as from a failure detector and gossip.
 */
final class RateLimitSimulation {
    static final String BACK_END = "engine";

    /** Time after an instance passed on the first response with a limit. */
    private static final Duration TOLD_DELAY = Duration.ofMillis(500);

    private static final Duration GOSSIP_INTERVAL = Duration.ofSeconds(1);
    private static final int MIN_RESPONSE_MILLIS = 20;
    private static final int MAX_RESPONSE_MILLIS = 400;
    private static final long MILLI = 1_000_000;

    /**
     * An instance with a clock of its own; a machine that is frozen may have a clock that stops.
     */
    final class Node {
        private final String mName;
        private final double mClockRate;
        private final long mClockOffset;
        private long mStoppedNanos;
        private long mExcusedUntilNanos;
        private long mIncarnation;
        private Optional<Long> mToldNanos = Optional.empty();
        private boolean mIsFrozen;
        private boolean mIsDown;
        private RateLimitInstance mInstance;
        private final Map<Class<?>, PeerHandler<?>> mHandlers = new HashMap<>();

        private Node(String name) {
            mName = name;
            mClockRate = 1 + (mRandom.nextDouble() - 0.5) * 0.001;
            mClockOffset = mRandom.nextInt(1_000_000) * MILLI;
            mInstance = start();
        }

        private RateLimitInstance start() {
            mIncarnation++;
            mToldNanos = Optional.empty();
            mHandlers.clear();
            return new RateLimitInstance(network(), member(), clock(), mRandom.nextLong());
        }

        private Member member() {
            return new Member(
                    new InstanceId(mName, mIncarnation),
                    mName + ":caller",
                    mName,
                    "zone",
                    MemberState.ALIVE,
                    0);
        }

        TimeSource clock() {
            return new TimeSource() {
                @Override
                public long nanoTime() {
                    return mClockOffset + (long) ((mEvents.now() - mStoppedNanos) * mClockRate);
                }

                @Override
                public long wallMillis() {
                    return (mClockOffset + mEvents.now()) / MILLI;
                }

                @Override
                public void sleep(Duration duration) {
                    throw new UnsupportedOperationException("nothing here sleeps");
                }
            };
        }

        private PeerNetwork network() {
            return new PeerNetwork() {
                @Override
                public PeerMessage call(String address, PeerMessage request, Deadline deadline) {
                    mMessages++;
                    return deliver(mName, address, request);
                }

                @Override
                public void send(String address, PeerMessage message, Deadline deadline) {
                    mMessages++;
                    deliver(mName, address, message);
                }

                @Override
                public <T extends PeerMessage> void registerHandler(
                        Class<T> type, PeerHandler<T> handler) {
                    mHandlers.put(type, handler);
                }
            };
        }

        String name() {
            return mName;
        }

        RateLimitInstance instance() {
            return mInstance;
        }

        boolean isRunning() {
            return !mIsFrozen && !mIsDown;
        }

        private void request() {
            if (isRunning()) {
                mDemand.request(this);
            }
        }

        private void requestLimited() {
            BackEnd backEnd = mBackEnd;
            BackEndRateLimits limits = mInstance.limits();
            if (!limits.accepts(backEnd) || !limits.tryUse(backEnd, 1)) {
                return;
            }
            ClockReading written = ClockReading.now(clock());
            long incarnation = mIncarnation;
            long now = mEvents.now();
            boolean isBound =
                    mToldNanos.filter(told -> now - told >= TOLD_DELAY.toNanos()).isPresent()
                            && now >= mExcusedUntilNanos;
            mRule.recordArrival(new Arrival(now, mName, isBound));
            after(
                    between(MIN_RESPONSE_MILLIS, MAX_RESPONSE_MILLIS),
                    () -> respond(backEnd, written, incarnation));
        }

        /** The head of the response says what holds when it is sent. */
        private void respond(BackEnd backEnd, ClockReading written, long incarnation) {
            Optional<RateLimit> limit =
                    backEnd.isSameRun(mBackEnd) ? namedLimit() : Optional.empty();
            receive(backEnd, limit, written, incarnation);
        }

        private void receive(
                BackEnd backEnd,
                Optional<RateLimit> limit,
                ClockReading written,
                long incarnation) {
            if (mIsDown || incarnation != mIncarnation) {
                return;
            }
            if (mIsFrozen) {
                mWhenAwake
                        .computeIfAbsent(mName, key -> new ArrayList<>())
                        .add(() -> receive(backEnd, limit, written, incarnation));
                return;
            }
            ResponseHead head = ResponseHead.builder(200).signed(true).rateLimit(limit).build();
            if (limit.isPresent() && mToldNanos.isEmpty()) {
                mToldNanos = Optional.of(mEvents.now());
            }
            mInstance.limits().recordResponse(backEnd, head, written);
        }
    }

    private final VirtualEvents mEvents = new VirtualEvents();
    private final Random mRandom;
    private final Map<String, Node> mNodes = new HashMap<>();
    private final List<Node> mOrder = new ArrayList<>();
    private final Set<String> mCuts = new HashSet<>();
    private final Map<String, List<Runnable>> mWhenAwake = new HashMap<>();
    private final RateLimitRule mRule = new RateLimitRule();
    private final SimulatedDemand mDemand;
    private final double mRequestsPerSecond;
    private BackEnd mBackEnd = new BackEnd(BACK_END, 1, "engines", "10.0.0.1:80", "zone", 8, false);
    private long mMessages;

    /**
     * Starts a fleet.
     *
     * @param requestsPerSecond requests for the back end that each instance has
     */
    RateLimitSimulation(long seed, int instances, double requestsPerSecond) {
        this(seed, instances, requestsPerSecond, Node::requestLimited);
    }

    RateLimitSimulation(
            long seed, int instances, double requestsPerSecond, SimulatedDemand demand) {
        mDemand = demand;
        mRandom = new Random(seed);
        mRequestsPerSecond = requestsPerSecond;
        mRule.recordLimit(mEvents.now(), Optional.empty());
        IntStream.range(0, instances).forEach(i -> add("instance-" + i));
        mOrder.forEach(node -> mOrder.forEach(other -> node.mInstance.learn(other.member())));
        scheduleGossip();
    }

    /** A member that another one in reach does not take for alive refutes that. */
    private void scheduleGossip() {
        after(
                GOSSIP_INTERVAL,
                () -> {
                    mOrder.stream()
                            .filter(Node::isRunning)
                            .filter(this::isDoubted)
                            .forEach(this::refuteEverywhere);
                    scheduleGossip();
                });
    }

    private boolean isDoubted(Node node) {
        return mOrder.stream()
                .filter(Node::isRunning)
                .filter(other -> !isCut(node, other) && !isCut(other, node))
                .anyMatch(
                        other ->
                                other.mInstance
                                        .members()
                                        .find(node.mName)
                                        .filter(each -> each.state() == MemberState.ALIVE)
                                        .filter(
                                                each ->
                                                        each.id().incarnation()
                                                                == node.mIncarnation)
                                        .isEmpty());
    }

    /** Whether gossip of the node reaches the observer, by itself or through a third instance. */
    private boolean canHear(Node observer, Node node) {
        return !isCut(node, observer)
                || mOrder.stream()
                        .filter(Node::isRunning)
                        .filter(each -> each != node && each != observer)
                        .anyMatch(each -> !isCut(node, each) && !isCut(each, observer));
    }

    private boolean isCut(Node from, Node to) {
        return mCuts.contains(from.mName + ">" + to.mName);
    }

    private void add(String name) {
        Node node = new Node(name);
        mNodes.put(name, node);
        mOrder.add(node);
        scheduleRequest(node);
    }

    private void scheduleRequest(Node node) {
        double seconds = -Math.log(1 - mRandom.nextDouble()) / mRequestsPerSecond;
        after(
                Duration.ofNanos((long) (seconds * 1e9)),
                () -> {
                    node.request();
                    scheduleRequest(node);
                });
    }

    private Duration between(int minMillis, int maxMillis) {
        return Duration.ofMillis(minMillis + mRandom.nextInt(maxMillis - minMillis + 1));
    }

    /** Does something later. */
    void after(Duration delay, Runnable action) {
        mEvents.after(delay, action);
    }

    void run(Duration duration) {
        mEvents.run(duration);
    }

    /** The back end names this limit from now on, or none. */
    void name(Optional<Double> requestsPerSecond) {
        mRule.recordLimit(mEvents.now(), requestsPerSecond.flatMap(RateLimit::of));
    }

    private Optional<RateLimit> namedLimit() {
        return mRule.limit();
    }

    /** The back end starts again under its id; its new run names no limit yet. */
    void restartBackEnd() {
        BackEnd old = mBackEnd;
        mBackEnd =
                new BackEnd(
                        old.id(),
                        old.startWallMillis() + 1,
                        old.service(),
                        old.address(),
                        old.dataCentre(),
                        old.slots(),
                        false);
        name(Optional.empty());
        mOrder.forEach(node -> node.mToldNanos = Optional.empty());
        mOrder.forEach(node -> node.mInstance.limits().recordRegistered(mBackEnd));
    }

    List<Node> nodes() {
        return mOrder;
    }

    /** The member that the first running instance takes for the owner. */
    Node owner() {
        return owner(BACK_END);
    }

    Node owner(String backEndId) {
        Node observer =
                mOrder.stream().filter(Node::isRunning).findFirst().orElse(mOrder.getFirst());
        CoordinatorDirectory directory =
                new CoordinatorDirectory(observer.mInstance.members(), mEvents.time());
        return mNodes.get(directory.order(RateLimitOwner.key(backEndId)).getFirst().id().name());
    }

    void freeze(Node node, boolean stopsClock, Duration duration) {
        if (!node.isRunning()) {
            return;
        }
        node.mIsFrozen = true;
        long since = mEvents.now();
        suspectEverywhere(node);
        after(
                duration,
                () -> {
                    node.mIsFrozen = false;
                    node.mExcusedUntilNanos = mEvents.now() + RateLimitRule.WINDOW.toNanos();
                    node.mStoppedNanos += stopsClock ? mEvents.now() - since : 0;
                    Optional.ofNullable(mWhenAwake.remove(node.mName))
                            .ifPresent(actions -> actions.forEach(Runnable::run));
                    refuteEverywhere(node);
                });
    }

    /** The instance ends without leaving, and starts again. */
    void kill(Node node, Duration downTime) {
        if (!node.isRunning()) {
            return;
        }
        node.mIsDown = true;
        suspectEverywhere(node);
        after(
                downTime,
                () -> {
                    node.mIsDown = false;
                    node.mInstance = node.start();
                    mOrder.stream()
                            .filter(other -> other != node && other.isRunning())
                            .forEach(other -> node.mInstance.learn(other.mInstance.self()));
                    refuteEverywhere(node);
                });
    }

    void join() {
        String name = "instance-" + mOrder.size();
        add(name);
        Node node = mNodes.get(name);
        mOrder.stream()
                .filter(Node::isRunning)
                .forEach(other -> node.mInstance.learn(other.mInstance.self()));
        refuteEverywhere(node);
    }

    /** Messages from one to the other are lost for a time. */
    void cut(Node from, Node to, Duration duration) {
        mCuts.add(from.mName + ">" + to.mName);
        after(duration, () -> mCuts.remove(from.mName + ">" + to.mName));
    }

    /** The instances on both sides lose each other. */
    void part(List<Node> side, Duration duration) {
        List<Node> others = mOrder.stream().filter(each -> !side.contains(each)).toList();
        for (Node one : side) {
            for (Node other : others) {
                cut(one, other, duration);
                cut(other, one, duration);
                suspect(one, other);
                suspect(other, one);
            }
        }
        after(
                duration,
                () -> mOrder.stream().filter(Node::isRunning).forEach(this::refuteEverywhere));
    }

    private void suspectEverywhere(Node node) {
        mOrder.stream().filter(each -> each != node).forEach(each -> suspect(each, node));
    }

    private void suspect(Node observer, Node node) {
        Member suspected = node.mInstance.self();
        after(
                between(300, 1_500),
                () -> {
                    if (!node.isRunning() || isCut(node, observer)) {
                        tell(
                                observer,
                                suspected.withState(MemberState.SUSPECT, suspected.stateNumber()));
                    }
                });
        after(
                between(3_000, 4_000),
                () -> {
                    if (!node.isRunning() || isCut(node, observer)) {
                        tell(
                                observer,
                                suspected.withState(MemberState.DEAD, suspected.stateNumber()));
                    }
                });
    }

    private void refuteEverywhere(Node node) {
        node.mInstance.members().announce(MemberState.ALIVE);
        Member refuted = node.mInstance.self();
        mOrder.stream()
                .filter(each -> each != node)
                .forEach(
                        each ->
                                after(
                                        between(50, 1_000),
                                        () -> {
                                            if (canHear(each, node)) {
                                                tell(each, refuted);
                                            }
                                        }));
    }

    private static void tell(Node observer, Member member) {
        if (observer.isRunning()) {
            observer.mInstance.learn(member);
        }
    }

    private PeerMessage deliver(String from, String to, PeerMessage message) {
        Node receiver = mNodes.get(to);
        if (!receiver.isRunning() || mCuts.contains(from + ">" + to)) {
            throw unreachable(to);
        }
        PeerMessage reply = handle(receiver.mHandlers.get(message.getClass()), message);
        if (mCuts.contains(to + ">" + from)) {
            throw unreachable(to);
        }
        return reply;
    }

    @SuppressWarnings("unchecked") // handlers are stored under their message type
    private static <T extends PeerMessage> PeerMessage handle(
            PeerHandler<T> handler, PeerMessage message) {
        return handler.handle((T) message);
    }

    private static RattanportException unreachable(String address) {
        return new RattanportException(
                ErrorCode.PEER_UNREACHABLE, address + " did not respond before the deadline");
    }

    /** Messages that instances sent to each other. */
    long messages() {
        return mMessages;
    }

    long now() {
        return mEvents.now();
    }

    /** Requests that arrived since then. */
    long arrivalsSince(long nanos) {
        return mRule.arrivalsSince(nanos);
    }

    /** The window with the most requests above what the rule allows, if one has too many. */
    Optional<RateLimitRule.Excess> worstExcess() {
        return mRule.worstExcess();
    }
}
