package org.rattanport.decisions.gateway.placement;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.TestFleet;
import org.rattanport.decisions.gateway.discovery.BackEndRegistry;
import org.rattanport.kernel.gateway.EngineShare;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.PlacementDemand;
import org.rattanport.kernel.time.ManualTimeSource;

/** Placement while callers want more than the engines can do in time. */
final class OverloadTest {
    private static final int ENGINES = 4;
    private static final int SLOTS = TestFleet.ENGINE_SPEC.slots();
    private static final Duration SHORT_OBJECTIVE = Duration.ofMillis(300);
    private static final Duration LONG_OBJECTIVE = Duration.ofSeconds(4);

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final BackEndRegistry mRegistry = TestFleet.registry(mTime);
    private final WorkTracker mTracker = new WorkTracker(mTime);
    private final PromptPlacement mPlacement =
            new PromptPlacement(
                    mRegistry,
                    new BackEndHealth(mTime),
                    mTracker,
                    PlacementTuning.DEFAULTS,
                    new Random(3));

    @BeforeEach
    void setUp() {
        mRegistry.replace(TestFleet.engines(ENGINES));
    }

    private static PlacementDemand shortPrompt() {
        return TestFleet.demand(5_000, SHORT_OBJECTIVE, Duration.ofMillis(200));
    }

    private static PlacementDemand longPrompt(int tokens) {
        return TestFleet.demand(tokens, LONG_OBJECTIVE, Duration.ofMillis(800));
    }

    private Placement place(PlacementDemand demand) {
        return mPlacement
                .place(new PlacementQuery(TestFleet.engineService(), demand))
                .orElseThrow();
    }

    /** Adds a request that decodes on the engine for so long. */
    private void addDecode(int engine, String id, double millis, boolean isDeferred) {
        EngineShare share = new EngineShare("engine-" + engine, 5_000, 20, 6_500, true);
        mTracker.placed(new EngineWork(id, List.of(share), 60, millis, 200, 1, isDeferred));
    }

    private void fillSlots(int engine, double millis) {
        for (int i = 0; i < SLOTS; i++) {
            String id = engine + "/" + i;
            addDecode(engine, id, millis + i, false);
            mTracker.decodeStarted(id);
        }
    }

    /** Adds a long prompt whose prefill keeps the engine busy. */
    private void addPrefill(int engine, double millis) {
        EngineShare share = new EngineShare("engine-" + engine, 300_000, millis, 310_000, true);
        mTracker.placed(new EngineWork("prefill-" + engine, List.of(share), millis, 900, 800, 20));
    }

    @Nested
    final class Slots {
        @Test
        void shouldPredictTheWaitForTheFirstSlotThatBecomesFree() {
            fillSlots(0, 1_000);
            EngineLoadEstimate load = mTracker.estimateLoad("engine-0");
            assertThat(load.slotWaitMillis(SLOTS, false)).isWithin(1).of(1_000);
            assertThat(load.slotWaitMillis(SLOTS + 1, false)).isEqualTo(0);
        }

        @Test
        void shouldNotCountDeferredRequestsThatWaitAgainstOthers() {
            fillSlots(0, 1_000);
            mTracker.ended("0/0");
            addDecode(0, "deferred", 1_000, true);
            EngineLoadEstimate load = mTracker.estimateLoad("engine-0");
            assertThat(load.slotWaitMillis(SLOTS, false)).isEqualTo(0);
            assertThat(load.slotWaitMillis(SLOTS, true)).isGreaterThan(900.0);
        }

        @Test
        void shouldCountADeferredRequestOnceItsFirstEventHasArrived() {
            fillSlots(0, 1_000);
            mTracker.ended("0/0");
            addDecode(0, "deferred", 1_000, true);
            mTracker.decodeStarted("deferred");
            assertThat(mTracker.estimateLoad("engine-0").slotWaitMillis(SLOTS, false))
                    .isGreaterThan(900.0);
        }

        @Test
        void shouldDeferAShortPromptWhenAllSlotsAreTaken() {
            IntStream.range(0, ENGINES).forEach(engine -> fillSlots(engine, 1_000));
            EngineWork work = place(shortPrompt()).work().orElseThrow();
            assertThat(work.isDeferred()).isTrue();
            assertThat(work.predictedFirstEventMillis()).isGreaterThan(1_000.0);
        }

        /** Guards against prompts that give way for prefill work, which engines interleave. */
        @Test
        void shouldNotDeferAShortPromptForThePrefillOfLongOnes() {
            IntStream.range(0, ENGINES).forEach(engine -> addPrefill(engine, 3_000));
            assertThat(place(shortPrompt()).isDeferred()).isFalse();
        }

        @Test
        void shouldUseTheEngineWithAFreeSlot() {
            IntStream.range(0, ENGINES - 1).forEach(engine -> fillSlots(engine, 1_000));
            Placement placement = place(shortPrompt());
            assertThat(placement.backEnd().id()).isEqualTo("engine-" + (ENGINES - 1));
            assertThat(placement.isDeferred()).isFalse();
        }
    }

    @Nested
    final class LatePrompts {
        private final PlacementDemand mWaiting = longPrompt(300_000).waiting(Duration.ZERO);

        private void keepAllEnginesBusy(double millis) {
            IntStream.range(0, ENGINES).forEach(engine -> addPrefill(engine, millis));
        }

        @Test
        void shouldBePostponedWhileTheEnginesHaveTooMuchToPrefill() {
            keepAllEnginesBusy(9_000);
            assertThat(place(mWaiting).postponement()).isPresent();
        }

        @Test
        void shouldBeSentWhenTheyMayNotWait() {
            keepAllEnginesBusy(9_000);
            assertThat(place(longPrompt(300_000)).postponement()).isEmpty();
        }

        @Test
        void shouldBeSentOnceTheEnginesHaveRoomThoughTheyAreLate() {
            PlacementDemand late = longPrompt(100_000).waiting(Duration.ofSeconds(5));
            Placement placement = place(late);
            assertThat(placement.postponement()).isEmpty();
            assertThat(placement.isDeferred()).isTrue();
        }

        @Test
        void shouldNotBePostponedIfTheyAreShort() {
            keepAllEnginesBusy(9_000);
            PlacementDemand late = shortPrompt().waiting(Duration.ZERO);
            assertThat(place(late).postponement()).isEmpty();
        }

        /** Guards against short prompts that give way, as long ones fill the memory of engines. */
        @Test
        void shouldNotBeShortOnesThatLackMemory() {
            for (int engine = 0; engine < ENGINES; engine++) {
                EngineShare share = new EngineShare("engine-" + engine, 0, 0, 430_000, true);
                mTracker.placed(
                        new EngineWork("full-" + engine, List.of(share), 0, 3_000, 800, 20));
            }
            assertThat(place(shortPrompt()).isDeferred()).isFalse();
        }

        @Test
        void shouldBePostponedWhileNoEngineHasMemoryForThem() {
            for (int engine = 0; engine < ENGINES; engine++) {
                EngineShare share = new EngineShare("engine-" + engine, 0, 0, 400_000, true);
                mTracker.placed(
                        new EngineWork("full-" + engine, List.of(share), 0, 3_000, 800, 20));
            }
            assertThat(place(longPrompt(200_000).waiting(Duration.ZERO)).postponement())
                    .isPresent();
        }
    }

    @Nested
    final class Memory {
        /** Guards against leases that no engine can grant, whose prompts were refused. */
        @Test
        void shouldNeverLeaseMoreThanAnEngineHasFree() {
            for (int engine = 0; engine < ENGINES; engine++) {
                EngineShare share = new EngineShare("engine-" + engine, 0, 0, 60_000, true);
                mTracker.placed(
                        new EngineWork("load-" + engine, List.of(share), 0, 3_000, 800, 20));
            }
            Placement placement = place(longPrompt(850_000));
            assertThat(placement.reservations()).isNotEmpty();
            placement
                    .reservations()
                    .forEach(each -> assertThat(each.tokens()).isAtMost(450_000 - 60_000));
        }
    }

    @Nested
    final class UnconfirmedFirstEvents {
        /** Guards against placements that take an engine for idle while it is behind. */
        @Test
        void shouldKeepAnEngineBusyWhileALongPromptIsOverdue() {
            addPrefill(0, 1_000);
            mTime.advance(Duration.ofMillis(1_500));
            assertThat(mTracker.estimateLoad("engine-0").pendingPrefillMillis())
                    .isGreaterThan(100.0);
            mTracker.decodeStarted("prefill-0");
            assertThat(mTracker.estimateLoad("engine-0").pendingPrefillMillis()).isEqualTo(0);
        }
    }

    /**
     * Short prompts that come at a fifth more than the slots of the engines allow. Requests on time
     * go first in an engine's queue, so most are answered in time; first in, first out, all of them
     * are late once the queue has grown to the objective.
     */
    @Nested
    final class BurstOfShortPrompts {
        private static final int DECODE_MILLIS = 1_700;
        private static final int STEP_MILLIS = 10;

        private record Waiting(String id, long order, boolean isDeferred, long arrivedMillis) {}

        private record Running(String id, long endMillis) {}

        /** An engine that admits waiting requests by their rank into its slots. */
        private final class Engine {
            private final PriorityQueue<Waiting> mQueue =
                    new PriorityQueue<>(
                            Comparator.comparing(Waiting::isDeferred)
                                    .thenComparing(Waiting::order));
            private final List<Running> mRunning = new ArrayList<>();
        }

        private final List<Engine> mEngines =
                IntStream.range(0, ENGINES).mapToObj(i -> new Engine()).toList();
        private int mOnTime;

        private void step(long now) {
            for (Engine engine : mEngines) {
                engine.mRunning.stream()
                        .filter(each -> each.endMillis() <= now)
                        .forEach(each -> mTracker.ended(each.id()));
                engine.mRunning.removeIf(each -> each.endMillis() <= now);
                while (engine.mRunning.size() < SLOTS && !engine.mQueue.isEmpty()) {
                    Waiting next = engine.mQueue.poll();
                    engine.mRunning.add(new Running(next.id(), now + DECODE_MILLIS));
                    mTracker.decodeStarted(next.id());
                    boolean isOnTime = now - next.arrivedMillis() <= SHORT_OBJECTIVE.toMillis();
                    mOnTime += isOnTime ? 1 : 0;
                }
            }
        }

        private int play(boolean isRanked) {
            int arrivals = 0;
            double perStep = 1.2 * ENGINES * SLOTS * STEP_MILLIS / (DECODE_MILLIS + 60.0);
            double due = 0;
            for (long now = 0; now < 9_500; now += STEP_MILLIS) {
                step(now);
                for (due += perStep; due >= 1; due--) {
                    EngineWork placed = place(shortPrompt()).work().orElseThrow();
                    EngineWork work =
                            new EngineWork(
                                    "short-" + arrivals,
                                    placed.shares(),
                                    placed.predictedFirstEventMillis(),
                                    DECODE_MILLIS,
                                    200,
                                    1,
                                    placed.isDeferred());
                    mTracker.placed(work);
                    int engine = Integer.parseInt(work.shares().getFirst().engineId().substring(7));
                    mEngines.get(engine)
                            .mQueue
                            .add(
                                    new Waiting(
                                            work.attemptId(),
                                            arrivals,
                                            isRanked && work.isDeferred(),
                                            now));
                    arrivals++;
                }
                mTime.advance(Duration.ofMillis(STEP_MILLIS));
            }
            return 100 * mOnTime / arrivals;
        }

        @Test
        void shouldAnswerMostInTimeThoughNotAllCanBe() {
            assertThat(play(true)).isAtLeast(70);
        }

        @Test
        void shouldBeWorseWithoutTheRank() {
            assertThat(play(false)).isAtMost(60);
        }
    }
}
