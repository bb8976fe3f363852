package org.rattanport.decisions.gateway.placement;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.PeerHub;
import org.rattanport.decisions.gateway.TestFleet;
import org.rattanport.decisions.gateway.discovery.ActiveRouting;
import org.rattanport.decisions.gateway.discovery.BackEndRegistry;
import org.rattanport.decisions.membership.MemberTable;
import org.rattanport.decisions.membership.RumorQueue;
import org.rattanport.kernel.event.EventStreams;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.BackEndService;
import org.rattanport.kernel.gateway.EngineShare;
import org.rattanport.kernel.gateway.EngineSpec;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.PromptPart;
import org.rattanport.kernel.gateway.WorkUpdate;
import org.rattanport.kernel.model.InstanceId;
import org.rattanport.kernel.peer.Member;
import org.rattanport.kernel.peer.MemberState;
import org.rattanport.kernel.peer.PeerMessage;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.ManualTimeSource;

/** Sequences of prompts that begin alike, and the load of the engine that holds the beginning. */
final class PrefixReuseTest {
    private static final int ENGINES = 6;
    private static final String HOLDER = "engine-2";
    private static final Duration OBJECTIVE = Duration.ofMillis(1_506);
    private static final Duration MAX_GAP = Duration.ofMillis(500);

    /** The coordinator of engines, with or without the memory of what it placed. */
    private static final class Fleet {
        private final ManualTimeSource mTime = new ManualTimeSource();
        private final BackEndRegistry mRegistry = TestFleet.registry(mTime);
        private final BackEndHealth mHealth = new BackEndHealth(mTime);
        private final EngineSpec mSpec;
        private final RetainedPrompts mRetained;
        private final WorkTracker mTracker;
        private final PlacementCoordinator mCoordinator;
        private final RetainingEngines mEngines;
        private int mRequests;

        private Fleet(EngineSpec spec, boolean remembers) {
            mSpec = spec;
            mRetained = remembers ? new RememberedPrompts(mTime) : new NoRetainedPrompts();
            mTracker = new WorkTracker(mTime, id -> Optional.empty(), mRetained::recordEnded);
            mRegistry.replace(TestFleet.engines(ENGINES));
            mCoordinator =
                    new PlacementCoordinator(
                            new ActiveRouting(new EventStreams()),
                            new PromptPlacement(
                                    mRegistry,
                                    mHealth,
                                    mTracker,
                                    PlacementTuning.DEFAULTS,
                                    new Random(5),
                                    mRetained),
                            mTracker,
                            mHealth,
                            mRetained);
            mEngines = new RetainingEngines(mTime, spec, mTracker);
        }

        private Placement place(List<PromptPart> parts, String... excluded) {
            BackEndService service = new BackEndService(TestFleet.ENGINES, 100, Optional.of(mSpec));
            String id = "attempt-" + mRequests++;
            return mCoordinator
                    .place(
                            new PlacementQuery(
                                    service,
                                    TestFleet.demand(id, parts, OBJECTIVE, MAX_GAP, excluded)))
                    .orElseThrow();
        }

        /** Lets one engine prefill the prompt, so that it holds all of it. */
        private void retain(String engineId, List<PromptPart> parts) {
            String[] others =
                    TestFleet.engines(ENGINES).stream()
                            .map(BackEnd::id)
                            .filter(id -> !id.equals(engineId))
                            .toArray(String[]::new);
            mEngines.run(place(parts, others).work().orElseThrow(), parts);
            mEngines.advance(Duration.ofSeconds(20));
        }

        /** Places a prompt and runs it at the engines. */
        private void run(List<PromptPart> parts) {
            mEngines.run(place(parts).work().orElseThrow(), parts);
        }

        /** Runs a prompt to its end and returns the time of its first event. */
        private double runToEnd(List<PromptPart> parts) {
            run(parts);
            mEngines.advance(Duration.ofSeconds(20));
            return mEngines.lastFirstEventMillis();
        }

        private void addWork(String engineId, double prefillMillis, int memoryTokens) {
            EngineShare share = new EngineShare(engineId, 0, prefillMillis, memoryTokens, false);
            mTracker.placed(
                    new EngineWork(
                            "other-" + mRequests++, List.of(share), prefillMillis, 9_000, 800, 16));
        }

        /** Adds short requests that decode on the engine. */
        private void addDecodes(String engineId, int count) {
            for (int i = 0; i < count; i++) {
                String id = "decode-" + mRequests++;
                EngineShare share = new EngineShare(engineId, 5_000, 20, 6_500, true);
                mTracker.placed(new EngineWork(id, List.of(share), 60, 2_000, 500, 1));
                mTracker.decodeStarted(id);
            }
        }
    }

    private static Fleet fleet() {
        return new Fleet(TestFleet.RETAINING_SPEC, true);
    }

    private static List<PromptPart> prompt(Object... idsAndTokens) {
        return IntStream.range(0, idsAndTokens.length / 2)
                .mapToObj(
                        i ->
                                new PromptPart(
                                        (String) idsAndTokens[2 * i],
                                        (int) idsAndTokens[2 * i + 1]))
                .toList();
    }

    @Nested
    final class IdleHolder {
        @Test
        void shouldGetTheNextPromptWithTheSameBeginning() {
            Fleet fleet = fleet();
            fleet.retain(HOLDER, prompt("s", 60_000, "a", 2_000));
            for (int i = 0; i < 10; i++) {
                Placement next = fleet.place(prompt("s", 60_000, "b" + i, 2_000));
                assertThat(next.backEnd().id()).isEqualTo(HOLDER);
                fleet.mTracker.ended(next.work().orElseThrow().attemptId());
            }
        }

        @Test
        void shouldBePredictedToAnswerSoonerByThePrefillThatIsSaved() {
            Fleet fleet = fleet();
            fleet.retain(HOLDER, prompt("s", 60_000, "a", 2_000));
            EngineWork work = fleet.place(prompt("s", 60_000, "b", 2_000)).work().orElseThrow();
            double rest = 2_000 / 256.0 + (62e3 * 62e3 - 60e3 * 60e3) / 2 / 1e6 * 0.0917;
            assertThat(work.shares().getFirst().prefillMillis()).isWithin(0.01).of(rest);
            assertThat(work.shares().getFirst().prefillTokens()).isEqualTo(2_000);
            assertThat(work.shares().getFirst().memoryTokens()).isEqualTo(63_500);
            assertThat(work.predictedFirstEventMillis()).isWithin(0.01).of(rest);
        }

        @Test
        void shouldPrefillAtLeastTheLastToken() {
            Fleet fleet = fleet();
            List<PromptPart> whole = prompt("s", 60_000, "a", 2_000);
            fleet.retain(HOLDER, whole);
            EngineWork work = fleet.place(whole).work().orElseThrow();
            assertThat(work.shares().getFirst().prefillTokens()).isEqualTo(1);
        }

        @Test
        void shouldKeepAPromptWholeThatWouldBeSplitOtherwise() {
            Fleet fleet = fleet();
            assertThat(fleet.place(prompt("t", 150_000)).prefillEngines()).isNotEmpty();
            fleet.mEngines.advance(Duration.ofSeconds(60));
            fleet.retain(HOLDER, prompt("s", 150_000));
            Placement next = fleet.place(prompt("s", 150_000, "a", 3_000));
            assertThat(next.backEnd().id()).isEqualTo(HOLDER);
            assertThat(next.prefillEngines()).isEmpty();
        }
    }

    @Nested
    final class BusyHolder {
        private final Fleet mFleet = fleet();
        private final List<PromptPart> mNext = prompt("s", 60_000, "b", 2_000);

        @BeforeEach
        void setUp() {
            mFleet.retain(HOLDER, prompt("s", 60_000, "a", 2_000));
        }

        /** The wait is longer than the prefill that is saved. */
        @Test
        void shouldBePassedOverWhileItPrefillsALongPrompt() {
            mFleet.addWork(HOLDER, 1_400, 0);
            assertThat(mFleet.place(mNext).backEnd().id()).isNotEqualTo(HOLDER);
        }

        /** The wait is shorter than the prefill that is saved. */
        @Test
        void shouldBeUsedWhileItPrefillsAShortPrompt() {
            mFleet.addWork(HOLDER, 60, 0);
            assertThat(mFleet.place(mNext).backEnd().id()).isEqualTo(HOLDER);
        }

        @Test
        void shouldBePassedOverWithoutAFreeSlot() {
            mFleet.addDecodes(HOLDER, TestFleet.RETAINING_SPEC.slots());
            assertThat(mFleet.place(mNext).backEnd().id()).isNotEqualTo(HOLDER);
        }

        @Test
        void shouldBePassedOverWithoutFreeMemory() {
            mFleet.addWork(HOLDER, 0, 400_000);
            assertThat(mFleet.place(mNext).backEnd().id()).isNotEqualTo(HOLDER);
        }

        /** Running requests took the memory in which the prompt was retained. */
        @Test
        void shouldSaveNothingOnceRunningRequestsNeedItsMemory() {
            mFleet.addWork(HOLDER, 0, 390_000);
            mFleet.place(prompt("s", 1, "b", 2_000));
            mFleet.mTracker.ended("other-1");
            assertThat(mFleet.place(mNext).work().orElseThrow().shares().getFirst().prefillTokens())
                    .isAtLeast(2_000);
        }
    }

    @Nested
    final class HotPrefix {
        private static final int REQUESTS = 300;

        /** All callers share a beginning; the engine that held it first must not get them all. */
        @Test
        void shouldNotPileUpOnItsHolder() {
            check(true);
        }

        /** The first prompts are split, so that no engine holds the whole beginning at first. */
        @Test
        void shouldNotPileUpOnEnginesThatHoldASlice() {
            check(false);
        }

        private void check(boolean isHeld) {
            RetainingEngines with = run(true, isHeld);
            RetainingEngines without = run(false, isHeld);
            assertThat(with.maxRunning()).isAtMost(TestFleet.RETAINING_SPEC.slots());
            assertThat(with.maxRequests()).isLessThan(REQUESTS / 2);
            assertThat(with.meanFirstEventMillis()).isLessThan(without.meanFirstEventMillis());
            assertThat(with.firstEventMillis(0.95)).isAtMost(without.firstEventMillis(0.95));
            assertThat(with.firstEventMillis(0.95)).isAtMost((double) OBJECTIVE.toMillis());
        }

        private static RetainingEngines run(boolean remembers, boolean isHeld) {
            Fleet fleet = new Fleet(TestFleet.RETAINING_SPEC, remembers);
            if (isHeld) {
                fleet.retain(HOLDER, prompt("s", 40_000));
            }
            for (int i = 0; i < REQUESTS; i++) {
                fleet.run(prompt("s", 40_000, "caller-" + i, 3_000));
                fleet.mEngines.advance(Duration.ofMillis(80));
            }
            return fleet.mEngines;
        }
    }

    /** Who tells the memory that an engine dropped its work, and with it what it retained. */
    @Nested
    final class DroppedWork {
        private final Fleet mFleet = fleet();
        private final PeerHub mHub = new PeerHub();

        @BeforeEach
        void setUp() {
            mFleet.retain(HOLDER, prompt("s", 60_000));
            assertThat(heldTokens()).isEqualTo(60_000);
        }

        private long heldTokens() {
            return mFleet.mRetained.heldTokens(
                    TestFleet.backEnd(HOLDER, TestFleet.ENGINES, false),
                    PromptPrefix.of(prompt("s", 60_000)),
                    400_000);
        }

        @Test
        void shouldBeReportedByOtherInstances() {
            mFleet.mCoordinator.registerHandlers(mHub.networkOf("coordinator"));
            mHub.networkOf("other")
                    .call(
                            "coordinator",
                            new PeerMessage.WorkUpdates(
                                    List.of(new WorkUpdate.EngineFailed("a", HOLDER, 1))),
                            Deadline.after(mFleet.mTime, Duration.ofSeconds(1)));
            assertThat(heldTokens()).isEqualTo(0);
        }

        @Test
        void shouldBeReportedByTheInstanceItself() {
            MemberTable members =
                    new MemberTable(
                            new Member(
                                    new InstanceId("i", 1), "c", "p", "zone", MemberState.ALIVE, 0),
                            new RumorQueue(),
                            new EventStreams());
            try (WorkUpdateSender sender =
                    new WorkUpdateSender(mHub.networkOf("p"), mFleet.mTime)) {
                new CoordinatedPlacement(
                                mFleet.mRegistry,
                                mFleet.mCoordinator,
                                new CoordinatorDirectory(members, mFleet.mTime),
                                mFleet.mTracker,
                                mHub.networkOf("p"),
                                sender,
                                decision -> {},
                                mFleet.mTime,
                                new Random(1))
                        .engineFailed("a", HOLDER, 1);
            }
            assertThat(heldTokens()).isEqualTo(0);
        }
    }

    @Nested
    final class StaleMemory {
        /** The engine evicted the prompt: the first event is late, and the next one is not. */
        @Test
        void shouldCostTheTimeOfOnePrefill() {
            Fleet fleet = fleet();
            fleet.retain(HOLDER, prompt("s", 60_000, "a", 2_000));
            fleet.mEngines.evictAll(HOLDER);
            double whole = new ForwardPassModel(TestFleet.RETAINING_SPEC).prefillMillis(62_000, 1);
            assertThat(fleet.runToEnd(prompt("s", 60_000, "b", 2_000))).isWithin(0.01).of(whole);
            assertThat(fleet.runToEnd(prompt("s", 60_000, "c", 2_000))).isLessThan(whole / 4);
        }
    }

    /** Sessions whose prompts grow with each turn, at engines that hold prompts. */
    @Nested
    final class Gain {
        private static final int SESSIONS = 24;
        private static final int REQUESTS = 600;
        private static final int MAX_TURNS = 12;

        private static final Load LONG_BEGINNING = new Load(20_000, 250, 500, 600);
        private static final Load LONG_TURNS = new Load(4_000, 1_500, 3_000, 600);
        private static final Load GROWING_SESSIONS = new Load(8_000, 2_000, 10_000, 500);

        /** Shared tokens, least tokens of a turn, range above them, longest pause in between. */
        private record Load(int shared, int minTurn, int turnRange, int maxPauseMillis) {}

        @Test
        void shouldBeEarlierFirstEventsWithALongBeginning() {
            checkMean(LONG_BEGINNING);
            checkLateOnes(LONG_BEGINNING);
        }

        @Test
        void shouldBeEarlierFirstEventsInTheMeanWithLongTurns() {
            checkMean(LONG_TURNS);
        }

        @Test
        @Tag("known-red")
        void shouldNotDelayTheLateFirstEventsWithLongTurns() {
            checkLateOnes(LONG_TURNS);
        }

        @Test
        @Tag("known-red")
        void shouldBeEarlierFirstEventsWithGrowingSessions() {
            checkMean(GROWING_SESSIONS);
            checkLateOnes(GROWING_SESSIONS);
        }

        private void checkMean(Load load) {
            RetainingEngines with = run(true, load);
            RetainingEngines without = run(false, load);
            System.out.printf(
                    "%s: first event after %.0f ms, without the knowledge %.0f ms; 95 in 100"
                            + " within %.0f and %.0f ms%n",
                    load,
                    with.meanFirstEventMillis(),
                    without.meanFirstEventMillis(),
                    with.firstEventMillis(0.95),
                    without.firstEventMillis(0.95));
            assertThat(with.meanFirstEventMillis()).isLessThan(without.meanFirstEventMillis());
            assertThat(with.firstEventMillis(0.95)).isAtMost((double) OBJECTIVE.toMillis());
        }

        private void checkLateOnes(Load load) {
            assertThat(run(true, load).firstEventMillis(0.95))
                    .isAtMost(run(false, load).firstEventMillis(0.95));
        }

        private static RetainingEngines run(boolean remembers, Load load) {
            Fleet fleet = new Fleet(TestFleet.RETAINING_SPEC, remembers);
            Random random = new Random(7);
            Map<Integer, List<PromptPart>> sessions = new HashMap<>();
            for (int i = 0; i < REQUESTS; i++) {
                int session = random.nextInt(SESSIONS);
                List<PromptPart> parts =
                        new ArrayList<>(sessions.getOrDefault(session, prompt("s", load.shared())));
                if (parts.size() > MAX_TURNS) {
                    parts.subList(1, parts.size()).clear();
                }
                int tokens = load.minTurn() + random.nextInt(load.turnRange());
                parts.add(new PromptPart("turn-" + i, tokens));
                sessions.put(session, parts);
                fleet.run(List.copyOf(parts));
                fleet.mEngines.advance(Duration.ofMillis(random.nextInt(load.maxPauseMillis())));
            }
            return fleet.mEngines;
        }
    }

    @Nested
    final class EnginesThatRetainNothing {
        /** Guards the present deployments, whose results must stay as they are. */
        @Test
        void shouldGetTheSamePlacementsAsWithoutMemory() {
            Fleet with = new Fleet(TestFleet.ENGINE_SPEC, true);
            Fleet without = new Fleet(TestFleet.ENGINE_SPEC, false);
            Random load = new Random(9);
            for (int i = 0; i < 400; i++) {
                List<PromptPart> parts =
                        prompt("s", 40, "p" + i, (int) Math.pow(10, 3 + 2.5 * load.nextDouble()));
                Placement one = with.place(parts);
                Placement other = without.place(parts);
                assertThat(one.work()).isEqualTo(other.work());
                assertThat(one.cost()).isEqualTo(other.cost());
                Duration pause = Duration.ofMillis(load.nextInt(200));
                with.mEngines.advance(pause);
                without.mEngines.advance(pause);
            }
        }
    }
}
