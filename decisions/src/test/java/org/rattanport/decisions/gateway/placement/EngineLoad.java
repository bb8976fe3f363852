package org.rattanport.decisions.gateway.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.rattanport.decisions.gateway.PeerHub;
import org.rattanport.decisions.gateway.TestFleet;
import org.rattanport.decisions.gateway.discovery.ActiveRouting;
import org.rattanport.decisions.gateway.discovery.BackEndRegistry;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.decisions.membership.RumorQueue;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.EngineGroup;
import org.rattanport.kernel.gateway.EngineShare;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.PlacementDemand;
import org.rattanport.kernel.gateway.PromptSize;
import org.rattanport.kernel.gateway.WorkUpdate;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.peer.PeerNetwork;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.ManualTimeSource;

/** Instances that place prompts at engines which work in passes, in virtual time. */
final class EngineLoad {
    /** A kind of prompt of the second deployment. */
    enum Kind {
        SHORT(5_000, 304, 200),
        MIDDLE(45_000, 1_506, 500),
        LONG(300_000, 4_010, 800);

        private final int mTokens;
        private final int mObjectiveMillis;
        private final int mMaxGapMillis;

        Kind(int tokens, int objectiveMillis, int maxGapMillis) {
            mTokens = tokens;
            mObjectiveMillis = objectiveMillis;
            mMaxGapMillis = maxGapMillis;
        }
    }

    /** How much slower than declared an engine is at a moment. */
    interface Slowdown {
        double at(String engineId, long millis);
    }

    /** How long an instance does not run from a moment on. */
    interface Pause {
        long millisFrom(int instance, long millis);
    }

    private static final int OUTPUT_TOKENS = 1_500;
    private static final int INSTANCES = 12;
    private static final long BATCH_MILLIS = 100;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final ForwardPassModel MODEL = new ForwardPassModel(TestFleet.ENGINE_SPEC);

    private record Action(long nanos, long number, Runnable run) {}

    /** A prompt and what its caller gets. */
    static final class Prompt {
        final Kind mKind;
        final long mPlacedMillis;
        final Instance mInstance;
        final EngineWork mWork;
        private final long mWriteMillis;
        private int mPendingParts;
        private int mPendingEvents;
        private int mBuffered;
        private long mFreeNanos;
        private long mLastNanos;
        private double mFirstMillis;
        private double mMaxGapMillis;

        private Prompt(Kind kind, Instance instance, EngineWork work, long nanos, long write) {
            mKind = kind;
            mPlacedMillis = nanos / 1_000_000;
            mInstance = instance;
            mWork = work;
            mWriteMillis = write;
            mPendingParts = work.shares().size();
            mPendingEvents =
                    Math.ceilDiv(OUTPUT_TOKENS, TestFleet.ENGINE_SPEC.decodeStepsPerPass());
            mFreeNanos = nanos;
            mLastNanos = nanos;
        }

        String engineId() {
            return mWork.shares().getFirst().engineId();
        }

        boolean isDecodedAt(String engineId) {
            return engineId().equals(engineId);
        }

        boolean uses(String engineId) {
            return mWork.shares().stream().anyMatch(each -> each.engineId().equals(engineId));
        }

        boolean isOpen() {
            return mPendingEvents > 0;
        }

        boolean isLate() {
            return mFirstMillis > mKind.mObjectiveMillis || mMaxGapMillis > mKind.mMaxGapMillis;
        }
    }

    /** An engine that prefills what waits and decodes in one pass after the other. */
    private final class Engine {
        private final String mId;
        private final List<Prompt> mWaiting = new ArrayList<>();
        private final List<Prompt> mDecoding = new ArrayList<>();
        private boolean mIsBusy;

        private Engine(String id) {
            mId = id;
        }

        private void startPass() {
            if (mIsBusy || (mWaiting.isEmpty() && mDecoding.isEmpty())) {
                return;
            }
            mIsBusy = true;
            List<Prompt> decoded = List.copyOf(mDecoding);
            int freeSlots = Math.max(0, TestFleet.ENGINE_SPEC.slots() - decoded.size());
            List<Prompt> prefilled =
                    Stream.concat(
                                    mWaiting.stream().filter(each -> !each.isDecodedAt(mId)),
                                    mWaiting.stream()
                                            .filter(each -> each.isDecodedAt(mId))
                                            .limit(freeSlots))
                            .toList();
            mWaiting.removeAll(prefilled);
            long context = decoded.stream().mapToLong(each -> share(each).memoryTokens()).sum();
            double millis = MODEL.decodePassMillis(decoded.size(), context);
            for (Prompt each : prefilled) {
                millis += share(each).prefillMillis();
            }
            after(millis * mSlowdown.at(mId, nowMillis()), () -> endPass(prefilled, decoded));
        }

        private EngineShare share(Prompt prompt) {
            return prompt.mWork.shares().stream()
                    .filter(each -> each.engineId().equals(mId))
                    .findFirst()
                    .orElseThrow();
        }

        private void endPass(List<Prompt> prefilled, List<Prompt> decoded) {
            mIsBusy = false;
            decoded.forEach(this::emit);
            for (Prompt each : prefilled) {
                if (--each.mPendingParts == 0) {
                    Engine decodeEngine = mEngines.get(each.engineId());
                    decodeEngine.mDecoding.add(each);
                    decodeEngine.emit(each);
                    decodeEngine.startPass();
                }
            }
            startPass();
        }

        private void emit(Prompt prompt) {
            if (--prompt.mPendingEvents == 0) {
                mDecoding.remove(prompt);
            }
            prompt.mBuffered++;
            if (prompt.mBuffered == 1) {
                read(prompt);
            }
        }
    }

    /** One instance with what it knows. */
    final class Instance {
        final int mIndex;
        final WorkTracker mTracker;
        final CoordinatorDirectory mDirectory;
        final CoordinatedPlacement mPlacement;
        private final WorkUpdateSender mSender;
        private final PeerNetwork mPeers;

        private Instance(int index, int engines) {
            mIndex = index;
            MemberTable members =
                    new MemberTable(member(index), new RumorQueue(), new EventStreams());
            IntStream.range(0, INSTANCES).mapToObj(EngineLoad::member).forEach(members::merge);
            BackEndRegistry registry = TestFleet.registry(mTime);
            registry.replace(TestFleet.engines(engines));
            ActiveRouting routing = new ActiveRouting(new EventStreams());
            routing.activateIfNewer(TestFleet.document(1));
            mTracker = new WorkTracker(mTime, registry::findAvailable, id -> {});
            BackEndHealth health = new BackEndHealth(mTime);
            mDirectory = new CoordinatorDirectory(members, mTime);
            mPeers = mHub.networkOf(address(index));
            PlacementCoordinator coordinator =
                    new PlacementCoordinator(
                            routing,
                            new PromptPlacement(
                                    registry,
                                    health,
                                    mTracker,
                                    PlacementTuning.DEFAULTS,
                                    new Random(index)),
                            mTracker,
                            health);
            coordinator.registerHandlers(mPeers);
            // The load sends the updates itself, so that the order of messages is fixed.
            mSender = new WorkUpdateSender(mPeers, new StoppedTimeSource());
            mPlacement =
                    new CoordinatedPlacement(
                            registry,
                            coordinator,
                            mDirectory,
                            mTracker,
                            mPeers,
                            mSender,
                            decision -> {},
                            mTime,
                            new Random(index));
        }

        String peerAddress() {
            return address(mIndex);
        }

        private void sendUpdates() {
            for (int peer = 0; peer < INSTANCES; peer++) {
                List<WorkUpdate> updates = mSender.takePending(address(peer));
                if (!updates.isEmpty()) {
                    try {
                        mPeers.send(
                                address(peer),
                                new PeerMessage.WorkUpdates(updates),
                                Deadline.after(mTime, Duration.ofSeconds(1)));
                    } catch (RattanportException e) {
                        // A silenced instance; the update is lost.
                        continue;
                    }
                }
            }
        }
    }

    final ManualTimeSource mTime = new ManualTimeSource();
    final PeerHub mHub = new PeerHub();
    final List<Instance> mInstances = new ArrayList<>();
    final List<Prompt> mPrompts = new ArrayList<>();
    private final Map<String, Engine> mEngines = new LinkedHashMap<>();
    private final PriorityQueue<Action> mActions =
            new PriorityQueue<>(
                    Comparator.comparingLong(Action::nanos).thenComparingLong(Action::number));
    private final Random mRandom;
    private final long mStartNanos = mTime.nanoTime();
    private long mLastAction;
    private boolean mIsStopped;

    /** Whether instances observe the engines. */
    boolean mIsObserving = true;

    Slowdown mSlowdown = (engineId, millis) -> 1;
    Pause mPause = (instance, millis) -> 0;

    EngineLoad(int engines, int seed) {
        mRandom = new Random(seed);
        TestFleet.engines(engines).stream()
                .map(BackEnd::id)
                .forEach(id -> mEngines.put(id, new Engine(id)));
        for (int i = 0; i < INSTANCES; i++) {
            mInstances.add(new Instance(i, engines));
        }
        sendUpdates();
    }

    private static String address(int index) {
        return "p-" + index;
    }

    private static Member member(int index) {
        return new Member(
                new InstanceId("instance-" + index, 1),
                "c-" + index,
                address(index),
                "zone",
                MemberState.ALIVE,
                0);
    }

    private void sendUpdates() {
        mInstances.forEach(Instance::sendUpdates);
        after(BATCH_MILLIS, this::sendUpdates);
    }

    long nowMillis() {
        return (mTime.nanoTime() - mStartNanos) / 1_000_000;
    }

    void after(double millis, Runnable run) {
        long nanos = mTime.nanoTime() + Math.round(millis * NANOS_PER_MILLI);
        mActions.add(new Action(nanos, ++mLastAction, run));
    }

    void runUntil(long millis) {
        long end = mStartNanos + millis * 1_000_000;
        while (!mActions.isEmpty() && mActions.peek().nanos() <= end) {
            Action next = mActions.poll();
            mTime.advance(Duration.ofNanos(next.nanos() - mTime.nanoTime()));
            next.run().run();
        }
        mTime.advance(Duration.ofNanos(end - mTime.nanoTime()));
    }

    /** Sends prompts of the kind at random instances until a time. */
    void arrive(Kind kind, double perSecond, long untilMillis) {
        after(
                -Math.log(mRandom.nextDouble()) * 1_000 / perSecond,
                () -> {
                    if (nowMillis() < untilMillis && !mIsStopped) {
                        send(kind, mRandom.nextInt(INSTANCES), 0);
                        arrive(kind, perSecond, untilMillis);
                    }
                });
    }

    /** No further prompt arrives. */
    void stopArrivals() {
        mIsStopped = true;
    }

    /** Sends a prompt whose caller takes a time to read each event. */
    Prompt send(Kind kind, int instanceIndex, long writeMillis) {
        Instance instance = mInstances.get(instanceIndex);
        String attemptId = "attempt-" + mPrompts.size();
        EngineWork work =
                instance.mPlacement
                        .place(
                                new PlacementQuery(
                                        TestFleet.engineService(),
                                        new PlacementDemand(
                                                attemptId,
                                                TestFleet.ENGINES,
                                                EngineGroup.ALL,
                                                Optional.of(
                                                        new PromptSize(
                                                                kind.mTokens, OUTPUT_TOKENS)),
                                                Duration.ofMillis(kind.mObjectiveMillis),
                                                Duration.ofMillis(kind.mMaxGapMillis),
                                                Set.of())))
                        .orElseThrow()
                        .work()
                        .orElseThrow();
        Prompt prompt =
                new Prompt(kind, instance, work, mTime.nanoTime() - mStartNanos, writeMillis);
        prompt.mFreeNanos = mTime.nanoTime();
        prompt.mLastNanos = mTime.nanoTime();
        mPrompts.add(prompt);
        if (mIsObserving) {
            instance.mPlacement.written(attemptId);
        }
        for (EngineShare share : work.shares()) {
            Engine engine = mEngines.get(share.engineId());
            engine.mWaiting.add(prompt);
            engine.startPass();
        }
        return prompt;
    }

    /** Hands the buffered events over as soon as instance and caller take them. */
    private void read(Prompt prompt) {
        double busyMillis = Math.max(0, (prompt.mFreeNanos - mTime.nanoTime()) / NANOS_PER_MILLI);
        long pauseMillis = mPause.millisFrom(prompt.mInstance.mIndex, nowMillis());
        double waitMillis = Math.max(busyMillis, pauseMillis);
        if (waitMillis > 0) {
            after(waitMillis, () -> read(prompt));
            return;
        }
        CoordinatedPlacement placement = prompt.mInstance.mPlacement;
        String attemptId = prompt.mWork.attemptId();
        int events = prompt.mBuffered;
        prompt.mBuffered = 0;
        placement.eventsArrived(attemptId, events, prompt.mFreeNanos);
        placement.decodeStarted(attemptId);
        long now = mTime.nanoTime();
        double sinceLast = (now - prompt.mLastNanos) / NANOS_PER_MILLI;
        if (prompt.mFirstMillis == 0) {
            prompt.mFirstMillis = sinceLast;
        } else {
            prompt.mMaxGapMillis = Math.max(prompt.mMaxGapMillis, sinceLast);
        }
        prompt.mLastNanos = now;
        prompt.mFreeNanos = now + prompt.mWriteMillis * 1_000_000;
        if (prompt.mPendingEvents == 0) {
            placement.ended(attemptId);
        }
    }

    /** Largest slowdown of the engine that an instance knows of. */
    double knownSlowdown(String engineId) {
        return mInstances.stream()
                .mapToDouble(each -> each.mTracker.slowdowns().factor(engineId))
                .max()
                .orElse(1);
    }

    double knownSlowdown() {
        return mEngines.keySet().stream().mapToDouble(this::knownSlowdown).max().orElse(1);
    }

    /** The instance that coordinates the group of the engine, as this one sees it. */
    Instance coordinatorOf(String engineId, Instance observer) {
        int groups = CoordinatorDirectory.groupCount(mEngines.size());
        EngineGroup group = new EngineGroup(EngineGroup.indexOf(engineId, groups), groups);
        Member coordinator = observer.mDirectory.candidates(TestFleet.ENGINES, group).getFirst();
        return mInstances.stream()
                .filter(each -> each.peerAddress().equals(coordinator.peerAddress()))
                .findFirst()
                .orElseThrow();
    }

    /** The engine that decodes the most prompts now. */
    String busiestEngine() {
        return mEngines.values().stream()
                .max(Comparator.comparingInt((Engine each) -> each.mDecoding.size()))
                .map(each -> each.mId)
                .orElseThrow();
    }

    void close() {
        mInstances.forEach(each -> each.mSender.close());
    }
}
