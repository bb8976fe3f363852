package org.rattanport.decisions.gateway.placement;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.TestFleet;
import org.rattanport.decisions.gateway.discovery.BackEndRegistry;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.EngineShare;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.time.ManualTimeSource;

/** Placement of prompts by the tracked work of each engine. */
final class PromptPlacementTest {
    private static final int ENGINES = 6;
    private static final Duration SHORT_OBJECTIVE = Duration.ofMillis(300);
    private static final Duration LONG_OBJECTIVE = Duration.ofSeconds(3);

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final BackEndRegistry mRegistry = TestFleet.registry(mTime);
    private final BackEndHealth mHealth = new BackEndHealth(mTime);
    private final WorkTracker mTracker = new WorkTracker(mTime);
    private final PromptPlacement mPlacement =
            new PromptPlacement(
                    mRegistry, mHealth, mTracker, PlacementTuning.DEFAULTS, new Random(3));

    @BeforeEach
    void setUp() {
        mRegistry.replace(TestFleet.engines(ENGINES));
    }

    private Placement place(int tokens, Duration objective, Duration maxGap, String... excluded) {
        return mPlacement
                .place(
                        new PlacementQuery(
                                TestFleet.engineService(),
                                TestFleet.demand(tokens, objective, maxGap, excluded)))
                .orElseThrow();
    }

    private Placement placeShort(String... excluded) {
        return place(5_000, SHORT_OBJECTIVE, Duration.ofMillis(200), excluded);
    }

    private Placement placeLong(int tokens) {
        return place(tokens, LONG_OBJECTIVE, Duration.ofMillis(800));
    }

    /** Adds a short request that decodes on the engine. */
    private void addDecode(int engine, String id) {
        EngineShare share = new EngineShare("engine-" + engine, 5_000, 20, 6_500, true);
        mTracker.placed(new EngineWork(id, List.of(share), 60, 2_000, 200, 1));
        mTracker.decodeStarted(id);
    }

    private List<String> usedEngines(Placement placement) {
        return placement.work().orElseThrow().shares().stream().map(EngineShare::engineId).toList();
    }

    @Nested
    final class LongPrompts {
        @Test
        void shouldSplitPrefillWhenOneEngineWouldBeLate() {
            assertThat(placeLong(300_000).prefillEngines()).isNotEmpty();
        }

        @Test
        void shouldAvoidEnginesWithShortGapLimits() {
            addDecode(0, "a");
            addDecode(1, "b");
            assertThat(usedEngines(placeLong(210_000))).containsNoneOf("engine-0", "engine-1");
        }

        @Test
        void shouldPreferEngineWhoseDecodesAreAlreadyLate() {
            for (int engine = 0; engine < ENGINES; engine++) {
                addDecode(engine, "a" + engine);
                addDecode(engine, "b" + engine);
            }
            EngineShare part = new EngineShare("engine-3", 100_000, 600, 0, false);
            mTracker.placed(new EngineWork("long", List.of(part), 700, 900, 800, 16));
            mTracker.ended("long");
            assertThat(usedEngines(placeLong(100_000))).containsExactly("engine-3");
        }

        @Test
        void shouldLeaseMemoryWhenOneEngineLacksIt() {
            Placement placement = placeLong(700_000);
            assertThat(placement.reservations()).hasSize(placement.prefillEngines().size());
            long leased = placement.reservations().stream().mapToLong(Reservation::tokens).sum();
            assertThat(700_000 - leased).isLessThan(TestFleet.ENGINE_SPEC.memoryTokens());
            assertThat(placement.reservations().stream().map(Reservation::id).distinct().count())
                    .isEqualTo(placement.reservations().size());
        }

        @Test
        void shouldUseNewLeaseIdsForEachAttempt() {
            List<String> first =
                    placeLong(700_000).reservations().stream().map(Reservation::id).toList();
            List<String> second =
                    placeLong(700_000).reservations().stream().map(Reservation::id).toList();
            assertThat(second).containsNoneIn(first);
        }

        @Test
        void shouldNotLeaseWhenOneEngineHasEnoughMemory() {
            assertThat(placeLong(200_000).reservations()).isEmpty();
        }
    }

    @Nested
    final class ShortPrompts {
        @Test
        void shouldShareAnEngineToLeaveOthersIdle() {
            addDecode(4, "a");
            assertThat(placeShort().backEnd().id()).isEqualTo("engine-4");
        }

        @Test
        void shouldUseAnotherEngineWhenAllSlotsAreTaken() {
            for (int i = 0; i < TestFleet.ENGINE_SPEC.slots(); i++) {
                addDecode(4, "writer-" + i);
            }
            assertThat(placeShort().backEnd().id()).isNotEqualTo("engine-4");
        }

        @Test
        void shouldNotQueueBehindLongPrefill() {
            for (int engine = 0; engine < ENGINES - 1; engine++) {
                EngineShare share =
                        new EngineShare("engine-" + engine, 100_000, 900, 100_000, false);
                mTracker.placed(
                        new EngineWork("long-" + engine, List.of(share), 900, 900, 800, 16));
            }
            assertThat(placeShort().backEnd().id()).isEqualTo("engine-5");
        }

        @Test
        void shouldNotReuseExcludedEngine() {
            String first = placeShort().backEnd().id();
            assertThat(placeShort(first).backEnd().id()).isNotEqualTo(first);
        }
    }

    @Nested
    final class Failures {
        @Test
        void shouldAvoidFailedEngineUntilItRecovers() {
            addDecode(2, "a");
            mHealth.recordFailure("engine-2", 1.5);
            assertThat(placeShort().backEnd().id()).isNotEqualTo("engine-2");
            mTime.advance(Duration.ofSeconds(30));
            addDecode(2, "b");
            assertThat(placeShort().backEnd().id()).isEqualTo("engine-2");
        }

        @Test
        void shouldUseUnhealthyEngineWhenNoOtherExists() {
            TestFleet.engines(ENGINES).stream()
                    .map(BackEnd::id)
                    .forEach(id -> mHealth.recordFailure(id, 3));
            assertThat(placeShort().backEnd()).isNotNull();
        }

        @Test
        void shouldReturnEmptyWithoutEngines() {
            mRegistry.replace(List.of());
            assertThat(
                            mPlacement.place(
                                    new PlacementQuery(
                                            TestFleet.engineService(),
                                            TestFleet.demand(
                                                    5_000, SHORT_OBJECTIVE, SHORT_OBJECTIVE))))
                    .isEmpty();
        }
    }

    @Nested
    final class SlowEngines {
        @Test
        void shouldGetNoPromptThatWouldBeLate() {
            addDecode(4, "a");
            mTracker.slowdowns().record("engine-4", 5);
            assertThat(placeShort().backEnd().id()).isNotEqualTo("engine-4");
            assertThat(usedEngines(placeLong(300_000))).doesNotContain("engine-4");
        }

        /** Passes of a quarter of a second exceed the gap limit, although the first event fits. */
        @Test
        void shouldGetNoPromptWhosePassesWouldExceedItsGapLimit() {
            Duration objective = Duration.ofSeconds(3);
            for (int other : new int[] {0, 1, 2, 3, 5}) {
                mHealth.recordFailure("engine-" + other, 0.2);
            }
            String before = place(5_000, objective, Duration.ofMillis(200)).backEnd().id();
            mTracker.slowdowns().record("engine-4", 5);
            String after = place(5_000, objective, Duration.ofMillis(200)).backEnd().id();
            assertThat(before).isEqualTo("engine-4");
            assertThat(after).isNotEqualTo("engine-4");
        }

        @Test
        void shouldStillBeUsedWhenNoOtherExists() {
            mTracker.slowdowns().record("engine-4", 5);
            Placement placement =
                    placeShort("engine-0", "engine-1", "engine-2", "engine-3", "engine-5");
            assertThat(placement.backEnd().id()).isEqualTo("engine-4");
        }

        @Test
        void shouldLengthenThePredictionOfTheWork() {
            String[] others = {"engine-0", "engine-1", "engine-2", "engine-3", "engine-5"};
            EngineWork fast = placeShort(others).work().orElseThrow();
            mTracker.slowdowns().record("engine-4", 5);
            EngineWork slow = placeShort(others).work().orElseThrow();
            assertThat(slow.predictedFirstEventMillis())
                    .isWithin(0.01)
                    .of(5 * fast.predictedFirstEventMillis());
            assertThat(slow.predictedDecodeMillis())
                    .isWithin(0.01)
                    .of(5 * fast.predictedDecodeMillis());
        }

        @Test
        void shouldChangeNothingWhenMostEnginesAreSlowAlike() {
            addDecode(4, "a");
            EngineWork before = placeShort().work().orElseThrow();
            for (int engine = 0; engine < ENGINES; engine++) {
                mTracker.slowdowns().record("engine-" + engine, 3);
            }
            EngineWork after = placeShort().work().orElseThrow();
            assertThat(after.shares()).isEqualTo(before.shares());
            assertThat(after.predictedFirstEventMillis())
                    .isEqualTo(before.predictedFirstEventMillis());
        }

        /** A silent engine is given up only after the time that it needs as slow as it is. */
        @Test
        void shouldHaveMorePendingWorkWhenTheyBecomeSlow() {
            EngineShare share = new EngineShare("engine-1", 45_000, 300, 45_000, true);
            mTracker.placed(new EngineWork("a", List.of(share), 300, 500, 500, 1));
            mTime.advance(Duration.ofMillis(200));
            assertThat(mTracker.remainingPrefill("engine-1")).isEqualTo(Duration.ofMillis(100));
            mTracker.slowdowns().record("engine-1", 5);
            assertThat(mTracker.remainingPrefill("engine-1")).isEqualTo(Duration.ofMillis(1_300));
            mTracker.slowdowns().record("engine-1", 1);
            assertThat(mTracker.remainingPrefill("engine-1")).isEqualTo(Duration.ofMillis(100));
        }
    }

    @Nested
    final class WorkTracking {
        @Test
        void shouldExpireWorkWithoutEndUpdate() {
            addDecode(1, "lost");
            mTime.advance(Duration.ofMinutes(1));
            mTracker.removeExpired();
            assertThat(mTracker.size()).isEqualTo(0);
            assertThat(mTracker.estimateLoad("engine-1")).isEqualTo(EngineLoadEstimate.IDLE);
        }

        @Test
        void shouldReducePendingPrefillOverTime() {
            EngineShare share = new EngineShare("engine-1", 5_000, 100, 5_000, true);
            mTracker.placed(new EngineWork("a", List.of(share), 100, 500, 200, 1));
            assertThat(mTracker.estimateLoad("engine-1").pendingPrefillMillis())
                    .isWithin(0.1)
                    .of(100);
            mTime.advance(Duration.ofMillis(50));
            assertThat(mTracker.estimateLoad("engine-1").pendingPrefillMillis())
                    .isWithin(0.1)
                    .of(50);
            mTracker.decodeStarted("a");
            assertThat(mTracker.estimateLoad("engine-1").pendingPrefillMillis()).isEqualTo(0);
            assertThat(mTracker.estimateLoad("engine-1").activeDecodes()).isEqualTo(1);
            mTracker.ended("a");
            assertThat(mTracker.estimateLoad("engine-1")).isEqualTo(EngineLoadEstimate.IDLE);
        }
    }

    @Nested
    final class ComparedWithItsDefinition {
        private static final int DECISIONS = 300;

        @Test
        void shouldChooseTheSameEngines() {
            Random load = new Random(11);
            mRegistry.replace(TestFleet.engines(24));
            for (int i = 0; i < DECISIONS; i++) {
                int tokens = (int) Math.pow(10, 3 + 3 * load.nextDouble());
                boolean isShort = tokens < 30_000;
                PlacementQuery query =
                        new PlacementQuery(
                                TestFleet.engineService(),
                                TestFleet.demand(
                                        tokens,
                                        isShort ? SHORT_OBJECTIVE : LONG_OBJECTIVE,
                                        Duration.ofMillis(isShort ? 200 : 800)));
                Placement chosen = placementWithSeed(i).place(query).orElseThrow();
                List<String> expected =
                        new ReferencePlacement(
                                        mRegistry,
                                        mHealth,
                                        mTracker,
                                        PlacementTuning.DEFAULTS,
                                        new Random(i))
                                .place(query);
                assertThat(usedEngines(chosen)).isEqualTo(expected);
                mTracker.placed(withId(chosen.work().orElseThrow(), "attempt-" + i));
                mHealth.recordFailure("engine-" + load.nextInt(24), 0.3 * load.nextDouble());
                mTime.advance(Duration.ofMillis(load.nextInt(60)));
            }
        }

        private PromptPlacement placementWithSeed(int seed) {
            return new PromptPlacement(
                    mRegistry, mHealth, mTracker, PlacementTuning.DEFAULTS, new Random(seed));
        }

        private EngineWork withId(EngineWork work, String attemptId) {
            return new EngineWork(
                    attemptId,
                    work.shares(),
                    work.predictedFirstEventMillis(),
                    work.predictedDecodeMillis(),
                    work.maxEventGapMillis(),
                    work.weight());
        }
    }
}
