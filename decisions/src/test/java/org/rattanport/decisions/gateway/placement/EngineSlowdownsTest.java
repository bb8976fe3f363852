package org.rattanport.decisions.gateway.placement;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.DoubleStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanport.decisions.gateway.TestFleet;
import org.rattanport.decisions.gateway.discovery.BackEndRegistry;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.time.ManualTimeSource;

/** Which slowdown counts for an engine, and for how long. */
final class EngineSlowdownsTest {
    private static final String ENGINE = "engine-0";

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final BackEndRegistry mRegistry = TestFleet.registry(mTime);
    private final EngineSlowdowns mSlowdowns = new EngineSlowdowns(mTime, mRegistry::findAvailable);

    @Nested
    final class Bounds {
        @Test
        void shouldNotExcludeAnEngine() {
            mSlowdowns.record(ENGINE, 1_000);
            assertThat(mSlowdowns.factor(ENGINE)).isEqualTo(EngineSlowdowns.MAX_FACTOR);
        }

        /** A peer may send any number. */
        @ParameterizedTest
        @ValueSource(doubles = {Double.NaN, Double.NEGATIVE_INFINITY, -3, 0, 0.2, 1})
        void shouldNotPredictFasterPasses(double factor) {
            mSlowdowns.record(ENGINE, factor);
            assertThat(mSlowdowns.factor(ENGINE)).isEqualTo(1);
        }
    }

    @Nested
    final class Withdrawal {
        @Test
        void shouldCountTheLatestReport() {
            mSlowdowns.record(ENGINE, 5);
            mSlowdowns.record(ENGINE, 3);
            assertThat(mSlowdowns.factor(ENGINE)).isEqualTo(3);
            mSlowdowns.record(ENGINE, 1);
            assertThat(mSlowdowns.factor(ENGINE)).isEqualTo(1);
        }

        @Test
        void shouldFadeWithinTwoSeconds() {
            mSlowdowns.record(ENGINE, 5);
            mTime.advance(Duration.ofSeconds(1));
            assertThat(mSlowdowns.factor(ENGINE)).isEqualTo(5);
            mTime.advance(Duration.ofMillis(500));
            assertThat(mSlowdowns.factor(ENGINE)).isWithin(0.01).of(3);
            mTime.advance(Duration.ofMillis(500));
            assertThat(mSlowdowns.factor(ENGINE)).isEqualTo(1);
        }

        @Test
        void shouldNotCountForALaterRun() {
            mRegistry.replace(List.of(engine(1_000)));
            mSlowdowns.record(ENGINE, 5);
            assertThat(mSlowdowns.factor(ENGINE)).isEqualTo(5);
            mRegistry.replace(List.of(engine(2_000)));
            assertThat(mSlowdowns.factor(ENGINE)).isEqualTo(1);
        }

        private BackEnd engine(long startWallMillis) {
            BackEnd engine = TestFleet.engines(1).getFirst();
            return new BackEnd(
                    engine.id(),
                    startWallMillis,
                    engine.service(),
                    engine.address(),
                    engine.dataCentre(),
                    engine.slots(),
                    engine.isDraining());
        }
    }

    @Nested
    final class SharedSlowdown {
        @Test
        void shouldBeThatOfMostEngines() {
            assertThat(EngineSlowdowns.sharedFactor(DoubleStream.of(4, 4, 1, 5))).isEqualTo(4);
            assertThat(EngineSlowdowns.sharedFactor(DoubleStream.of(1, 5, 1, 5))).isEqualTo(1);
        }

        /** With two engines it is unknown which of them is as usual. */
        @Test
        void shouldNeedSeveralEngines() {
            assertThat(EngineSlowdowns.sharedFactor(DoubleStream.of(5, 5))).isEqualTo(1);
        }
    }
}
