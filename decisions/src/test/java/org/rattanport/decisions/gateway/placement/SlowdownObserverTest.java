package org.rattanport.decisions.gateway.placement;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.TestFleet;
import org.rattanport.kernel.gateway.EngineShare;
import org.rattanport.kernel.gateway.EngineSpec;
import org.rattanport.kernel.gateway.EngineWork;
import org.rattanport.kernel.gateway.WorkUpdate;
import org.rattanport.kernel.time.ManualTimeSource;

/** Which events of prompts show that an engine is slow. */
final class SlowdownObserverTest {
    /** Duration of a pass with one request, a little more than the prediction. */
    private static final long PASS = 45;

    private static final long SLOW_PASS = 5 * PASS;

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final WorkTracker mTracker = new WorkTracker(mTime);
    private final SlowdownObserver mObserver = new SlowdownObserver(mTracker, mTime);

    private void write(String attemptId, String engineId, String... prefillEngines) {
        List<EngineShare> shares = new ArrayList<>();
        shares.add(new EngineShare(engineId, 5_000, 20, 6_500, true));
        for (String each : prefillEngines) {
            shares.add(new EngineShare(each, 5_000, 20, 0, false));
        }
        EngineWork work = new EngineWork(attemptId, shares, 60, 2_000, 200, 1);
        mTracker.placed(work);
        mObserver.written(work, TestFleet.ENGINE_SPEC);
    }

    /** An event that was awaited from the last one on arrives after that time. */
    private Optional<Double> event(String attemptId, long millis) {
        long waitStartNanos = mTime.nanoTime();
        mTime.advance(Duration.ofMillis(millis));
        return arrive(attemptId, 1, waitStartNanos);
    }

    private Optional<Double> arrive(String attemptId, int events, long waitStartNanos) {
        Optional<WorkUpdate.EngineSlow> update =
                mObserver.eventsArrived(attemptId, events, waitStartNanos);
        update.ifPresent(each -> mObserver.reported(each, Optional.empty()));
        return update.map(WorkUpdate.EngineSlow::factor);
    }

    /** Events of a prompt at an engine of this speed, until it is reported or has been seen. */
    private Optional<Double> observe(String attemptId, String engineId, long passMillis) {
        write(attemptId, engineId);
        event(attemptId, 60);
        Optional<Double> report = Optional.empty();
        for (int i = 0; i < 3 && report.isEmpty(); i++) {
            report = event(attemptId, passMillis);
        }
        return report;
    }

    @Nested
    final class Evidence {
        @Test
        void shouldBeSeveralPassesThatAgree() {
            write("a", "engine");
            assertThat(event("a", 60)).isEmpty();
            assertThat(event("a", SLOW_PASS)).isEmpty();
            assertThat(event("a", SLOW_PASS)).isEmpty();
            assertThat(event("a", SLOW_PASS).orElseThrow()).isWithin(0.5).of(5);
        }

        @Test
        void shouldIncludeALateFirstEvent() {
            write("a", "engine");
            assertThat(event("a", 5 * 60)).isEmpty();
            assertThat(event("a", SLOW_PASS)).isEmpty();
            assertThat(event("a", SLOW_PASS).orElseThrow()).isWithin(0.5).of(5);
        }

        @Test
        void shouldNotIncludeAFirstEventOfSeveralEngines() {
            write("a", "engine", "other");
            assertThat(event("a", 5 * 60)).isEmpty();
            assertThat(event("a", SLOW_PASS)).isEmpty();
            assertThat(event("a", SLOW_PASS)).isEmpty();
        }

        @Test
        void shouldNeedADeclaredDurationOfPasses() {
            EngineShare share = new EngineShare("engine", 5_000, 20, 6_500, true);
            EngineWork work = new EngineWork("a", List.of(share), 60, 2_000, 200, 1);
            mObserver.written(work, new EngineSpec(8, 450_000, 46, 0, 0, 0, 256, 0));
            for (int i = 0; i < 6; i++) {
                assertThat(event("a", SLOW_PASS)).isEmpty();
            }
        }

        @Test
        void shouldNotBeOneLatePass() {
            write("a", "engine");
            event("a", 60);
            for (int i = 0; i < 10; i++) {
                assertThat(event("a", PASS)).isEmpty();
                assertThat(event("a", PASS)).isEmpty();
                assertThat(event("a", 900)).isEmpty();
            }
        }

        /** Prompts that arrive in succession lengthen each pass by another time. */
        @Test
        void shouldNotBePassesThatDiffer() {
            write("a", "engine");
            event("a", 60);
            for (long millis : new long[] {200, 900, 400, 1_000, 300}) {
                assertThat(event("a", millis)).isEmpty();
            }
        }

        @Test
        void shouldNotBePassesWithKnownPrefill() {
            write("a", "engine");
            event("a", 60);
            for (int i = 0; i < 5; i++) {
                EngineShare share = new EngineShare("engine", 45_000, SLOW_PASS, 0, false);
                mTracker.placed(
                        new EngineWork("long-" + i, List.of(share), SLOW_PASS, 900, 800, 16));
                assertThat(event("a", SLOW_PASS)).isEmpty();
            }
        }
    }

    /** Engines that send an event for each token send those of a pass at once. */
    @Nested
    final class EventsOfTokens {
        private static final int STEPS = 46;

        private Optional<Double> pass(int... chunks) {
            long waitStartNanos = mTime.nanoTime();
            mTime.advance(Duration.ofMillis(SLOW_PASS));
            Optional<Double> report = Optional.empty();
            for (int events : chunks) {
                Optional<Double> next = arrive("a", events, waitStartNanos);
                report = next.isPresent() ? next : report;
                waitStartNanos = mTime.nanoTime();
            }
            return report;
        }

        @Test
        void shouldBeEvidenceAsOnePass() {
            write("a", "engine");
            event("a", 60);
            assertThat(pass(STEPS)).isEmpty();
            assertThat(pass(STEPS)).isEmpty();
            assertThat(pass(STEPS).orElseThrow()).isWithin(0.5).of(5);
        }

        @Test
        void shouldBeEvidenceWhenTheyArriveInSeveralChunks() {
            write("a", "engine");
            event("a", 60);
            assertThat(pass(20, 6, 20)).isEmpty();
            assertThat(pass(30, 16)).isEmpty();
            assertThat(pass(10, 36).orElseThrow()).isWithin(0.5).of(5);
        }

        @Test
        void shouldNotBeEvidenceWhenThoseOfSeveralPassesHadGathered() {
            write("a", "engine");
            event("a", 60);
            for (int i = 0; i < 6; i++) {
                assertThat(pass(5 * STEPS)).isEmpty();
            }
        }
    }

    @Nested
    final class LateReaders {
        @Test
        void shouldDiscardEvidenceWhenEventsWereWaiting() {
            write("a", "engine");
            event("a", 60);
            event("a", SLOW_PASS);
            event("a", SLOW_PASS);
            assertThat(event("a", 0)).isEmpty();
            assertThat(event("a", SLOW_PASS)).isEmpty();
            assertThat(event("a", SLOW_PASS)).isEmpty();
            assertThat(event("a", SLOW_PASS)).isEmpty();
            assertThat(event("a", SLOW_PASS)).isPresent();
        }

        @Test
        void shouldDiscardEvidenceWhenSeveralEventsComeAtOnce() {
            write("a", "engine");
            event("a", 60);
            event("a", SLOW_PASS);
            event("a", SLOW_PASS);
            long waitStartNanos = mTime.nanoTime();
            mTime.advance(Duration.ofMillis(SLOW_PASS));
            assertThat(arrive("a", 2, waitStartNanos)).isEmpty();
        }

        @Test
        void shouldDiscardEvidenceWhenTheCallerTookItsTime() {
            write("a", "engine");
            event("a", 60);
            for (int i = 0; i < 6; i++) {
                mTime.advance(Duration.ofMillis(SLOW_PASS / 2));
                assertThat(event("a", SLOW_PASS / 2)).isEmpty();
            }
        }
    }

    @Nested
    final class OtherEngines {
        @Test
        void shouldPointToThisInstanceWhenAllAreSlowAtTheSameTime() {
            assertThat(observe("a", "engine-a", SLOW_PASS)).isPresent();
            assertThat(observe("b", "engine-b", SLOW_PASS)).isEmpty();
        }

        @Test
        void shouldPointToWrongFiguresWhenAllAreSlowWithinSeconds() {
            assertThat(observe("a", "engine-a", SLOW_PASS)).isPresent();
            mTime.advance(Duration.ofSeconds(2));
            assertThat(observe("b", "engine-b", SLOW_PASS)).isPresent();
            mTime.advance(Duration.ofSeconds(2));
            assertThat(observe("c", "engine-c", SLOW_PASS)).isEmpty();
        }

        @Test
        void shouldConfirmASlowEngineWhenOneIsFast() {
            assertThat(observe("a", "engine-a", SLOW_PASS)).isPresent();
            assertThat(observe("b", "engine-b", PASS)).isEmpty();
            assertThat(observe("c", "engine-c", SLOW_PASS)).isPresent();
        }
    }

    @Nested
    final class Reports {
        @Test
        void shouldBeRepeatedEachHalfSecond() {
            assertThat(observe("a", "engine", SLOW_PASS)).isPresent();
            assertThat(event("a", SLOW_PASS)).isEmpty();
            assertThat(event("a", SLOW_PASS)).isEmpty();
            assertThat(event("a", SLOW_PASS)).isPresent();
        }

        @Test
        void shouldWithdrawOnceWhenPassesAreFastAgain() {
            assertThat(observe("a", "engine", SLOW_PASS)).isPresent();
            assertThat(event("a", PASS)).isEmpty();
            assertThat(event("a", PASS)).isEmpty();
            assertThat(event("a", PASS)).hasValue(1.0);
            assertThat(event("a", PASS)).isEmpty();
        }

        /** The prediction of a first event at an engine that is known to be slow includes that. */
        @Test
        void shouldNotWithdrawForAFirstEventAsPredictedForASlowEngine() {
            mTracker.slowdowns().record("engine", 5);
            EngineShare share = new EngineShare("engine", 45_000, 270, 6_500, true);
            EngineWork work = new EngineWork("a", List.of(share), 5 * 330, 9_000, 500, 1);
            mObserver.written(work, TestFleet.ENGINE_SPEC);
            assertThat(event("a", 5 * 330)).isEmpty();
            assertThat(event("a", SLOW_PASS)).isEmpty();
            assertThat(event("a", SLOW_PASS)).isEmpty();
            assertThat(event("a", SLOW_PASS).orElseThrow()).isWithin(0.5).of(5);
        }

        @Test
        void shouldEndWithTheRequest() {
            write("a", "engine");
            event("a", 60);
            event("a", SLOW_PASS);
            event("a", SLOW_PASS);
            mObserver.ended("a");
            assertThat(event("a", SLOW_PASS)).isEmpty();
        }
    }
}
