package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.Share;
import org.rattanport.kernel.gateway.Work;
import org.rattanport.kernel.time.ManualTimeSource;

/** Where prompts go, by what is known of the work at each engine. */
final class PlacementTest {
    private static final int ENGINES = 6;
    private static final Duration SHORT = Duration.ofMillis(300);
    private static final Duration LONG = Duration.ofSeconds(3);

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final BackEndRegister mRegister = new BackEndRegister(mTime);
    private final BackEndHealth mHealth = new BackEndHealth(mTime);
    private final WorkBook mBook = new WorkBook(mTime);
    private final PromptPlacement mPlacement =
            new PromptPlacement(mRegister, mHealth, mBook, PlacementTuning.DEFAULTS, new Random(3));

    @BeforeEach
    void fill() {
        mRegister.replace(TestFleet.engines(ENGINES));
    }

    private Placement place(int tokens, Duration objective, Duration pause, String... excluded) {
        return mPlacement
                .place(
                        new PlacementQuery(
                                TestFleet.engineService(),
                                TestFleet.request("/", tokens),
                                objective,
                                pause,
                                Set.of(excluded)))
                .orElseThrow();
    }

    private Placement placeShort(String... excluded) {
        return place(5_000, SHORT, Duration.ofMillis(200), excluded);
    }

    private Placement placeLong(int tokens) {
        return place(tokens, LONG, Duration.ofMillis(800));
    }

    /** A short request that writes at the engine. */
    private void writer(int engine, String id) {
        Share share = new Share("engine-" + engine, 5_000, 20, 6_500, true);
        mBook.placed(new Work(id, List.of(share), 60, 2_000, 200, 1));
        mBook.writes(id);
    }

    private List<String> used(Placement placement) {
        return placement.work().orElseThrow().shares().stream().map(Share::engine).toList();
    }

    @Nested
    final class LongPrompts {
        @Test
        void shouldBeReadTogetherWhereOneEngineWouldBeLate() {
            assertThat(placeLong(300_000).readers()).isNotEmpty();
        }

        @Test
        void shouldKeepAwayFromEnginesWithShortPauses() {
            writer(0, "a");
            writer(1, "b");
            assertThat(used(placeLong(210_000))).containsNoneOf("engine-0", "engine-1");
        }

        @Test
        void shouldBeReadWhereTheAnswersAreLateAnyway() {
            for (int engine = 0; engine < ENGINES; engine++) {
                writer(engine, "a" + engine);
                writer(engine, "b" + engine);
            }
            Share part = new Share("engine-3", 100_000, 600, 0, false);
            mBook.placed(new Work("long", List.of(part), 700, 900, 800, 16));
            mBook.ended("long");
            assertThat(used(placeLong(100_000))).containsExactly("engine-3");
        }

        @Test
        void shouldLeaseMemoryWhereOneEngineHasNotEnough() {
            Placement placement = placeLong(700_000);
            assertThat(placement.reservations()).hasSize(placement.readers().size());
            long leased = placement.reservations().stream().mapToLong(Reservation::tokens).sum();
            assertThat(700_000 - leased).isLessThan(TestFleet.FIGURES.memoryTokens());
            assertThat(placement.reservations().stream().map(Reservation::id).distinct().count())
                    .isEqualTo(placement.reservations().size());
        }

        @Test
        void shouldUseNewLeasesForEachSendingOfAPrompt() {
            List<String> first =
                    placeLong(700_000).reservations().stream().map(Reservation::id).toList();
            List<String> second =
                    placeLong(700_000).reservations().stream().map(Reservation::id).toList();
            assertThat(second).containsNoneIn(first);
        }

        @Test
        void shouldLeaseNothingWhereOneEngineHasEnough() {
            assertThat(placeLong(200_000).reservations()).isEmpty();
        }
    }

    @Nested
    final class ShortPrompts {
        @Test
        void shouldGatherSoThatOtherEnginesStayFree() {
            writer(4, "a");
            assertThat(placeShort().backEnd().id()).isEqualTo("engine-4");
        }

        @Test
        void shouldGoElsewhereWhenAllPlacesAreTaken() {
            for (int i = 0; i < TestFleet.FIGURES.slots(); i++) {
                writer(4, "writer-" + i);
            }
            assertThat(placeShort().backEnd().id()).isNotEqualTo("engine-4");
        }

        @Test
        void shouldNotWaitBehindALongRead() {
            for (int engine = 0; engine < ENGINES - 1; engine++) {
                Share share = new Share("engine-" + engine, 100_000, 900, 100_000, false);
                mBook.placed(new Work("long-" + engine, List.of(share), 900, 900, 800, 16));
            }
            assertThat(placeShort().backEnd().id()).isEqualTo("engine-5");
        }

        @Test
        void shouldNotComeBackToAnEngineThatFailed() {
            String first = placeShort().backEnd().id();
            assertThat(placeShort(first).backEnd().id()).isNotEqualTo(first);
        }
    }

    @Nested
    final class Failures {
        @Test
        void shouldAvoidAnEngineThatFailedJustNowAndComeBackLater() {
            writer(2, "a");
            mHealth.failed("engine-2", 1.5);
            assertThat(placeShort().backEnd().id()).isNotEqualTo("engine-2");
            mTime.advance(Duration.ofSeconds(30));
            writer(2, "b");
            assertThat(placeShort().backEnd().id()).isEqualTo("engine-2");
        }

        @Test
        void shouldUseAFailingEngineWhenThereIsNoOther() {
            TestFleet.engines(ENGINES).stream()
                    .map(BackEnd::id)
                    .forEach(id -> mHealth.failed(id, 3));
            assertThat(placeShort().backEnd()).isNotNull();
        }

        @Test
        void shouldPlaceNothingWithoutEngines() {
            mRegister.replace(List.of());
            assertThat(
                            mPlacement.place(
                                    new PlacementQuery(
                                            TestFleet.engineService(),
                                            TestFleet.request("/", 5_000),
                                            SHORT,
                                            SHORT,
                                            Set.of())))
                    .isEmpty();
        }
    }

    @Nested
    final class Book {
        @Test
        void shouldForgetWorkWhoseEndWasNotHeardOf() {
            writer(1, "lost");
            mTime.advance(Duration.ofMinutes(1));
            mBook.forgetOld();
            assertThat(mBook.size()).isEqualTo(0);
            assertThat(mBook.picture("engine-1")).isEqualTo(EnginePicture.IDLE);
        }

        @Test
        void shouldCountWhatIsReadDown() {
            Share share = new Share("engine-1", 5_000, 100, 5_000, true);
            mBook.placed(new Work("a", List.of(share), 100, 500, 200, 1));
            assertThat(mBook.picture("engine-1").unreadMillis()).isWithin(0.1).of(100);
            mTime.advance(Duration.ofMillis(50));
            assertThat(mBook.picture("engine-1").unreadMillis()).isWithin(0.1).of(50);
            mBook.writes("a");
            assertThat(mBook.picture("engine-1").unreadMillis()).isEqualTo(0);
            assertThat(mBook.picture("engine-1").writersNow()).isEqualTo(1);
            mBook.ended("a");
            assertThat(mBook.picture("engine-1")).isEqualTo(EnginePicture.IDLE);
        }
    }
}
