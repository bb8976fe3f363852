package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.ScriptedBackEnds.Reaction;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;
import org.rattanport.kernel.gateway.Attempt;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.Evacuations;
import org.rattanport.kernel.gateway.StoreChange.Origin;
import org.rattanport.kernel.gateway.StorePosition;

/** Requests while data centres are evacuated. */
final class ForwardingEvacuationTest extends ForwardingHarness {
    private static final List<String> DATA_CENTRES = List.of("a", "b");

    private int mVersion = 1;

    @Override
    @BeforeEach
    void setUp() {
        super.setUp();
        List<BackEnd> backEnds = new ArrayList<>();
        IntStream.range(0, 8)
                .forEach(
                        each -> {
                            backEnds.add(backEnd("call-" + each, TestFleet.CALLS, each));
                            backEnds.add(backEnd("engine-" + each, TestFleet.ENGINES, each));
                        });
        mRegistry.replace(backEnds);
    }

    private static BackEnd backEnd(String id, String service, int index) {
        return new BackEnd(
                id, 2, service, "10.0.0.2:" + index, DATA_CENTRES.get(index % 2), 8, false);
    }

    private void evacuate(String... dataCentres) {
        mEvacuated.record(
                new Evacuations(new StorePosition(1, mVersion++), Set.of(dataCentres)),
                Origin.STORE);
    }

    private List<String> attemptedDataCentres() {
        return mAttempts.stream()
                .map(Attempt::backEnd)
                .map(BackEnd::dataCentre)
                .distinct()
                .toList();
    }

    @Nested
    final class OneDataCentre {
        @Test
        void shouldGetNoFirstAttemptsAndNoRetries() {
            evacuate("a");
            for (int i = 0; i < 20; i++) {
                serve("/read/" + i, Reaction.REFUSE, Reaction.RESPOND);
            }
            assertThat(attemptedDataCentres()).containsExactly("b");
        }

        @Test
        void shouldGetNoResumedStreams() {
            evacuate("a");
            for (int i = 0; i < 20; i++) {
                serve("/stream/" + i, Reaction.BREAK_OFF, Reaction.STREAM);
            }
            assertThat(attemptedDataCentres()).containsExactly("b");
        }

        /** The evacuation becomes known after the retry was placed. */
        @Test
        void shouldGetNoRetryThatWasPlacedBefore() {
            AtomicInteger connects = new AtomicInteger();
            mBackEnds.mDuringConnect =
                    () -> {
                        if (connects.incrementAndGet() == 2) {
                            evacuate("a");
                        }
                    };
            for (int i = 0; i < 20; i++) {
                evacuate();
                mTime.advance(Duration.ofSeconds(10));
                connects.set(0);
                serve("/read/" + i, Reaction.FAIL, Reaction.RESPOND);
                assertThat(mAttempts.getLast().backEnd().dataCentre()).isEqualTo("b");
            }
        }
    }

    /** A request that was placed before the evacuation was known. */
    @Nested
    final class WaitingRequest {
        @Test
        void shouldBePlacedElsewhereWhenTheConnectionTakesLong() {
            for (String each : DATA_CENTRES) {
                setUp();
                evacuate();
                mTime.advance(Duration.ofSeconds(10));
                mAttempts.clear();
                mBackEnds.mDuringConnect = () -> evacuate(each);
                serve("/book/" + each, Reaction.RESPOND);
                assertThat(attemptedDataCentres()).doesNotContain(each);
            }
        }

        @Test
        void shouldBePlacedElsewhereWhenAPrefillEngineIsEvacuated() {
            mPrefillEngines = List.of(mRegistry.find("engine-0").orElseThrow());
            mBackEnds.mDuringConnect = () -> evacuate("a");
            RattanportException error = serveExpectingError("/stream/x");
            assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
            assertThat(mAttempts).isEmpty();
        }
    }

    @Nested
    final class AllDataCentres {
        @Test
        void shouldRefuseAtOnceAsNotRunWithASpreadRetryAfter() {
            evacuate("a", "b");
            Set<Long> waits = new HashSet<>();
            for (int i = 0; i < 20; i++) {
                RattanportException error = serveExpectingError("/read/" + i);
                assertThat(error.code()).isEqualTo(ErrorCode.NO_TARGET);
                assertThat(error.verdict()).isEqualTo(Verdict.NOT_RUN);
                long millis = error.retryAfter().orElseThrow().toMillis();
                assertThat(millis).isAtLeast(1_000);
                assertThat(millis).isAtMost(2_000);
                waits.add(millis);
            }
            assertThat(mAttempts).isEmpty();
            assertThat(waits.size()).isGreaterThan(10);
        }

        /** The pause of one back end was promised although nobody knows the evacuation's end. */
        @Test
        void shouldNotPromiseThePauseOfAnEvacuatedBackEnd() {
            serve("/read/a", Reaction.PAUSE, Reaction.RESPOND);
            evacuate("a", "b");
            assertThat(mRegistry.shortestWait(TestFleet.CALLS).isPresent()).isFalse();
            assertThat(serveExpectingError("/read/b").retryAfter()).isPresent();
        }

        @Test
        void shouldServeAgainWhenOneEvacuationEnds() {
            evacuate("a", "b");
            serveExpectingError("/read/a");
            mTime.advance(Duration.ofSeconds(7));
            evacuate("a");
            mTime.advance(Duration.ofSeconds(2));
            serve("/read/b", Reaction.RESPOND);
            assertThat(attemptedDataCentres()).containsExactly("b");
        }
    }
}
