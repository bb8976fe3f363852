package org.rattanport.decisions.gateway.limits;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.TestFleet;
import org.rattanport.kernel.gateway.BackEnd;
import org.rattanport.kernel.gateway.ColdBackEndEvent;
import org.rattanport.kernel.gateway.ColdBackEndEvent.Kind;
import org.rattanport.kernel.gateway.ColdLimit;
import org.rattanport.kernel.time.ManualTimeSource;

/** Entries of back ends that are cold for a time. */
final class ColdBackEndsTest {
    private static final double COLD_PER_SECOND = 26;

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final List<Kind> mKinds = new ArrayList<>();
    private double mColdPerSecond = COLD_PER_SECOND;
    private final ColdBackEnds mCold =
            new ColdBackEnds(
                    mTime,
                    service -> service.equals(TestFleet.ENGINES) ? mColdPerSecond : 0,
                    this::recordEvent);

    private void recordEvent(ColdBackEndEvent event) {
        mKinds.add(event.kind());
    }

    private static BackEnd entry(long start, int coldSeconds) {
        return new BackEnd("a", start, TestFleet.ENGINES, "10.0.0.1:80", "zone", 8, false)
                .withColdLeft(Duration.ofSeconds(coldSeconds));
    }

    private void register(long start, int coldSeconds) {
        mCold.recordRegistered(entry(start, coldSeconds));
    }

    private Optional<Duration> left(long start) {
        return mCold.limit(entry(start, 0)).map(ColdLimit::left);
    }

    private void advance(int seconds) {
        mTime.advance(Duration.ofSeconds(seconds));
    }

    @Nested
    final class TheTime {
        @Test
        void shouldRunOutByItself() {
            register(1, 5);
            assertThat(mCold.limit(entry(1, 0)))
                    .hasValue(new ColdLimit(COLD_PER_SECOND, Duration.ofSeconds(5)));
            advance(4);
            assertThat(left(1)).hasValue(Duration.ofSeconds(1));
            advance(1);
            assertThat(left(1)).isEmpty();
            assertThat(mKinds).containsExactly(Kind.COLD, Kind.WARM).inOrder();
        }

        /** A back end that was warm early got too few requests until the time of an old entry. */
        @Test
        void shouldEndEarlierByALaterEntry() {
            register(1, 10);
            advance(1);
            register(1, 2);
            assertThat(left(1)).hasValue(Duration.ofSeconds(2));
            register(1, 0);
            assertThat(left(1)).isEmpty();
            assertThat(mKinds).containsExactly(Kind.COLD, Kind.WARM).inOrder();
        }

        /** The time was that of the first entry, although the back end stayed cold for longer. */
        @Test
        void shouldBeLongerByALaterEntry() {
            register(1, 2);
            advance(1);
            register(1, 8);
            advance(5);
            assertThat(left(1)).hasValue(Duration.ofSeconds(3));
            assertThat(mKinds).containsExactly(Kind.COLD);
        }

        /** A back end that had been warm was taken for warm for the rest of its run. */
        @Test
        void shouldBeginAnewWhenTheBackEndBecomesColdAgain() {
            register(1, 2);
            advance(3);
            register(1, 0);
            assertThat(left(1)).isEmpty();
            register(1, 6);
            assertThat(left(1)).hasValue(Duration.ofSeconds(6));
            assertThat(mKinds).containsExactly(Kind.COLD, Kind.WARM, Kind.COLD).inOrder();
        }
    }

    @Nested
    final class LaterRuns {
        /** A new run was taken for warm, or cold, as the one before was. */
        @Test
        void shouldBeginWithTheirOwnEntries() {
            register(1, 9);
            register(2, 0);
            assertThat(left(2)).isEmpty();
            register(3, 4);
            assertThat(left(3)).hasValue(Duration.ofSeconds(4));
            register(4, 7);
            assertThat(left(4)).hasValue(Duration.ofSeconds(7));
            assertThat(mKinds)
                    .containsExactly(Kind.COLD, Kind.WARM, Kind.COLD, Kind.WARM, Kind.COLD)
                    .inOrder();
        }

        /** A run that is not registered here yet was given the time of the one before. */
        @Test
        void shouldNotBeColdByTheEntryOfAnEarlierOne() {
            register(1, 9);
            assertThat(left(2)).isEmpty();
        }

        @Test
        void shouldNotBeChangedByOldEntries() {
            register(2, 5);
            register(1, 0);
            register(1, 60);
            assertThat(left(2)).hasValue(Duration.ofSeconds(5));
        }

        /** Entries without a start look alike; the newest one counts. */
        @Test
        void shouldFollowTheNewestEntryWithoutAStart() {
            register(0, 9);
            register(0, 0);
            assertThat(left(0)).isEmpty();
            register(0, 3);
            assertThat(left(0)).hasValue(Duration.ofSeconds(3));
        }
    }

    @Nested
    final class TheBound {
        /** Services without a bound paid for tokens of their cold back ends. */
        @Test
        void shouldBeAbsentWithoutOneInTheDocument() {
            mColdPerSecond = 0;
            register(1, 5);
            assertThat(left(1)).isEmpty();
        }

        /** The bound of the document that was active at the arrival of the entry stayed. */
        @Test
        void shouldChangeWithTheDocument() {
            register(1, 5);
            mColdPerSecond = 8;
            assertThat(mCold.limit(entry(1, 0)).orElseThrow().requestsPerSecond()).isEqualTo(8.0);
            mColdPerSecond = 0;
            assertThat(left(1)).isEmpty();
            mColdPerSecond = 40;
            assertThat(mCold.limit(entry(1, 0)).orElseThrow().requestsPerSecond()).isEqualTo(40.0);
        }
    }
}
