package org.rattanport.decisions.gateway.placement;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanport.decisions.gateway.TestFleet;
import org.rattanport.decisions.gateway.placement.EngineLoad.Kind;
import org.rattanport.decisions.gateway.placement.EngineLoad.Prompt;
import org.rattanport.kernel.gateway.EngineShare;

/** What callers get while an engine of a loaded fleet is slow, or only seems to be. */
final class SlowEngineTest {
    private static final int ENGINES = 45;
    private static final int SEED = 7;

    /** How much slower an engine becomes, and when. */
    private static final double FACTOR = 5;

    private static final long START = 3_000;
    private static final long END = 9_500;

    /** Time in which an engine is known to be slow; callers of the first second bear it. */
    private static final long DETECTION = 1_000;

    /** Time in which an engine that is fast again gets prompts again. */
    private static final long WITHDRAWAL = 2_000;

    private static final long LAST_ARRIVAL = 14_000;
    private static final long LAST_END = 60_000;

    private final List<EngineLoad> mLoads = new ArrayList<>();

    private EngineLoad load(int seed, boolean isObserving) {
        EngineLoad load = new EngineLoad(ENGINES, seed);
        load.mIsObserving = isObserving;
        load.arrive(Kind.SHORT, 34, LAST_ARRIVAL);
        load.arrive(Kind.MIDDLE, 5, LAST_ARRIVAL);
        load.arrive(Kind.LONG, 0.5, LAST_ARRIVAL);
        mLoads.add(load);
        return load;
    }

    /** Makes the engine that is used most slow, and returns its id. */
    private static String slowBusiestEngine(EngineLoad load) {
        load.runUntil(START);
        String slow = load.busiestEngine();
        load.mSlowdown =
                (id, millis) -> id.equals(slow) && millis >= START && millis < END ? FACTOR : 1;
        return slow;
    }

    private static long late(EngineLoad load) {
        return load.mPrompts.stream().filter(Prompt::isLate).count();
    }

    private static List<List<String>> engines(EngineLoad load) {
        return load.mPrompts.stream()
                .map(each -> each.mWork.shares().stream().map(EngineShare::engineId).toList())
                .toList();
    }

    /** Late prompts of the engine that were placed when its slowdown could be known. */
    private static long avoidablyLate(EngineLoad load, String slow) {
        return load.mPrompts.stream()
                .filter(each -> each.uses(slow) && each.isLate())
                .filter(each -> each.mPlacedMillis > START + DETECTION && each.mPlacedMillis < END)
                .count();
    }

    @AfterEach
    void close() {
        mLoads.forEach(EngineLoad::close);
    }

    @Nested
    final class FiveTimesSlower {
        @ParameterizedTest
        @ValueSource(ints = {7, 8, 9, 10})
        void shouldKeepFurtherPromptsFromBeingLate(int seed) {
            EngineLoad unaware = load(seed, false);
            String slow = slowBusiestEngine(unaware);
            unaware.runUntil(LAST_END);
            EngineLoad aware = load(seed, true);
            assertThat(slowBusiestEngine(aware)).isEqualTo(slow);
            aware.runUntil(LAST_END);
            assertThat(avoidablyLate(unaware, slow)).isGreaterThan(0L);
            assertThat(late(aware)).isLessThan(late(unaware));
            // An engine without prompts is tried again each time its report has faded.
            assertThat(avoidablyLate(aware, slow)).isAtMost((END - START) / WITHDRAWAL);
        }

        @Test
        void shouldReturnToUseWhenItIsFastAgain() {
            EngineLoad load = load(SEED, true);
            String slow = slowBusiestEngine(load);
            load.runUntil(START + DETECTION);
            assertThat(load.knownSlowdown(slow)).isWithin(1.0).of(FACTOR);
            load.runUntil(END + WITHDRAWAL);
            assertThat(load.knownSlowdown(slow)).isEqualTo(1);
            load.runUntil(LAST_END);
            assertThat(
                            load.mPrompts.stream()
                                    .filter(each -> each.uses(slow))
                                    .filter(each -> each.mPlacedMillis > END + WITHDRAWAL)
                                    .toList())
                    .isNotEmpty();
        }

        @Test
        void shouldBeForgottenWithoutRequests() {
            EngineLoad load = load(SEED, true);
            String slow = slowBusiestEngine(load);
            load.runUntil(START + DETECTION);
            assertThat(load.knownSlowdown(slow)).isGreaterThan(1.0);
            load.mPrompts.forEach(each -> each.mInstance.mPlacement.ended(each.mWork.attemptId()));
            load.stopArrivals();
            load.runUntil(START + DETECTION + WITHDRAWAL);
            assertThat(load.knownSlowdown(slow)).isEqualTo(1);
        }

        @Test
        void shouldCostFewMessages() {
            EngineLoad unaware = load(SEED, false);
            slowBusiestEngine(unaware);
            unaware.runUntil(LAST_ARRIVAL);
            EngineLoad aware = load(SEED, true);
            slowBusiestEngine(aware);
            aware.runUntil(LAST_ARRIVAL);
            // Two reports a second for each prompt that decodes at the engine.
            long reports = 2 * TestFleet.ENGINE_SPEC.slots() * (END - START) / 1_000;
            assertThat((long) aware.mHub.messages().size())
                    .isAtMost(unaware.mHub.messages().size() + reports);
        }
    }

    @Nested
    final class Flapping {
        private static final long PHASE = 1_500;

        private EngineLoad play(int seed, boolean isObserving) {
            EngineLoad load = load(seed, isObserving);
            load.runUntil(START);
            String slow = load.busiestEngine();
            load.mSlowdown =
                    (id, millis) -> id.equals(slow) && millis / PHASE % 2 == 0 ? FACTOR : 1;
            load.runUntil(LAST_END);
            return load;
        }

        @ParameterizedTest
        @ValueSource(ints = {7, 8, 9, 10})
        void shouldNotBeWorseThanUnnoticed(int seed) {
            assertThat(late(play(seed, true))).isAtMost(late(play(seed, false)));
        }
    }

    /** What must not be taken for a slow engine. */
    @Nested
    final class OtherCauses {
        private void checkUnnoticed(Consumer<EngineLoad> cause) {
            EngineLoad unaware = load(SEED, false);
            cause.accept(unaware);
            unaware.runUntil(LAST_END);
            EngineLoad aware = load(SEED, true);
            cause.accept(aware);
            for (long millis = 0; millis < LAST_ARRIVAL; millis += 100) {
                aware.runUntil(millis);
                assertWithMessage("at %s ms", millis).that(aware.knownSlowdown()).isEqualTo(1);
            }
            aware.runUntil(LAST_END);
            assertThat(engines(aware)).isEqualTo(engines(unaware));
        }

        @Test
        void shouldChangeNothingWithExactPredictions() {
            checkUnnoticed(load -> {});
        }

        @Test
        void shouldNotBeLongPromptsOfOtherInstances() {
            checkUnnoticed(load -> load.arrive(Kind.LONG, 8, 8_000));
        }

        @ParameterizedTest
        @ValueSource(longs = {100, 250, 400})
        void shouldNotBeAnInstanceThatRunsAQuarterOfTheTime(long period) {
            checkUnnoticed(
                    load ->
                            load.mPause =
                                    (instance, millis) ->
                                            instance < 3
                                                    ? Math.max(0, period * 3 / 4 - millis % period)
                                                    : 0);
        }

        @Test
        void shouldNotBeAFrozenInstance() {
            long pause = 1_500;
            checkUnnoticed(
                    load ->
                            load.mPause =
                                    (instance, millis) ->
                                            instance == 0 && millis >= START
                                                    ? Math.max(0, START + pause - millis)
                                                    : 0);
        }

        @Test
        void shouldNotBeACallerThatReadsSlowly() {
            checkUnnoticed(
                    load -> {
                        for (int i = 0; i < 100; i++) {
                            int instance = i % 12;
                            load.after(100 * i, () -> load.send(Kind.SHORT, instance, 400));
                        }
                    });
        }
    }

    /** One instance has prompts at the slow engine and reports it. */
    @Nested
    final class Failures {
        /** Time between two reports about an engine, with the pass that ends it and a batch. */
        private static final long REPORT_INTERVAL = 900;

        private final EngineLoad mLoad = load(SEED, true);
        private final String mSlow = slowBusiestEngine(mLoad);
        private final EngineLoad.Instance mObserver =
                mLoad.mPrompts.stream()
                        .filter(each -> each.isDecodedAt(mSlow) && each.isOpen())
                        .map(each -> each.mInstance)
                        .filter(each -> each != mLoad.coordinatorOf(mSlow, each))
                        .findFirst()
                        .orElseThrow();
        private final EngineLoad.Instance mCoordinator = mLoad.coordinatorOf(mSlow, mObserver);

        @BeforeEach
        void endOtherPrompts() {
            mLoad.stopArrivals();
            mLoad.mPrompts.stream()
                    .filter(each -> each.mInstance != mObserver)
                    .forEach(each -> each.mInstance.mPlacement.ended(each.mWork.attemptId()));
        }

        private double factorAt(EngineLoad.Instance instance) {
            return instance.mTracker.slowdowns().factor(mSlow);
        }

        @Test
        void shouldReportAgainWhatWasLost() {
            mLoad.runUntil(START + DETECTION / 2);
            mLoad.mHub.silence(mCoordinator.peerAddress());
            mLoad.runUntil(START + DETECTION);
            assertThat(factorAt(mObserver)).isGreaterThan(2.0);
            assertThat(factorAt(mCoordinator)).isEqualTo(1);
            mLoad.mHub.restore(mCoordinator.peerAddress());
            mLoad.runUntil(START + DETECTION + REPORT_INTERVAL);
            assertThat(factorAt(mCoordinator)).isGreaterThan(2.0);
        }

        @Test
        void shouldForgetWhenTheWithdrawalIsLost() {
            mLoad.runUntil(START + DETECTION);
            assertThat(factorAt(mCoordinator)).isGreaterThan(2.0);
            mLoad.mSlowdown = (id, millis) -> 1;
            mLoad.mHub.silence(mCoordinator.peerAddress());
            mLoad.runUntil(START + DETECTION + WITHDRAWAL);
            assertThat(factorAt(mCoordinator)).isEqualTo(1);
        }

        @Test
        void shouldTellTheNextCoordinatorWithTheNextPrompt() {
            mLoad.runUntil(START + DETECTION);
            mLoad.mHub.silence(mCoordinator.peerAddress());
            // The placement may ask the other group first.
            for (int i = 0; i < 4; i++) {
                assertThat(mLoad.send(Kind.SHORT, mObserver.mIndex, 0).uses(mSlow)).isFalse();
            }
            EngineLoad.Instance next = mLoad.coordinatorOf(mSlow, mObserver);
            assertThat(next).isNotSameInstanceAs(mCoordinator);
            assertThat(factorAt(next)).isGreaterThan(2.0);
        }

        @Test
        void shouldKeepPromptsAwayWithoutAnyCoordinator() {
            mLoad.mInstances.stream()
                    .filter(each -> each != mObserver)
                    .forEach(each -> mLoad.mHub.silence(each.peerAddress()));
            mLoad.runUntil(START + DETECTION);
            for (int i = 0; i < 4; i++) {
                assertThat(mLoad.send(Kind.SHORT, mObserver.mIndex, 0).uses(mSlow)).isFalse();
            }
        }
    }

    @Nested
    final class Overload {
        /**
         * More long prompts than the engines can prefill lengthen many passes in succession, and
         * the instance that sees these passes does not know the prompts.
         */
        @Test
        void shouldNotBeTakenForSlowEnginesByCoordinators() {
            EngineLoad unaware = load(SEED, false);
            unaware.arrive(Kind.MIDDLE, 60, 6_000);
            unaware.runUntil(LAST_END);
            EngineLoad aware = load(SEED, true);
            aware.arrive(Kind.MIDDLE, 60, 6_000);
            aware.runUntil(LAST_END);
            assertThat(engines(aware)).isEqualTo(engines(unaware));
        }
    }
}
