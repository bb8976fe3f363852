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
import org.rattanport.kernel.gateway.RateLimit;
import org.rattanport.kernel.gateway.RateLimitEvent;
import org.rattanport.kernel.gateway.RateLimitUpdate;
import org.rattanport.kernel.time.ManualTimeSource;
import org.rattanport.kernel.time.TimeSource;

/** What is known of a limit after responses and reports in any order. */
final class RateLimitTableTest {
    private final ManualTimeSource mTime = new ManualTimeSource();
    private final List<RateLimitEvent.Kind> mEvents = new ArrayList<>();
    private final RateLimitTable mTable =
            new RateLimitTable(mTime, event -> mEvents.add(event.kind()));
    private int mNumber;

    private static BackEnd backEnd(long start) {
        return new BackEnd("a", start, TestFleet.CALLS, "10.0.0.1:80", "zone", 8, false);
    }

    /** Records what the response to a request said that was written so long ago. */
    private boolean record(Optional<Double> limit, long ageMillis, long start) {
        return mTable.record(update(limit, ageMillis, start));
    }

    private RateLimitUpdate update(Optional<Double> limit, long ageMillis, long start) {
        return new RateLimitUpdate(
                "a",
                start,
                limit.flatMap(RateLimit::of),
                "instance#1",
                ++mNumber,
                Duration.ofMillis(ageMillis));
    }

    private Optional<Double> limit(long start) {
        return mTable.limited(backEnd(start))
                .flatMap(RateLimitUpdate::limit)
                .map(RateLimit::requestsPerSecond);
    }

    /** A request for a token of a cold back end, which carries no response, ended a named limit. */
    @Nested
    final class UpdatesWithoutAResponse {
        @Test
        void shouldChangeNothingOfTheSameRun() {
            record(Optional.of(0.5), 0, 1);
            mTime.advance(Duration.ofDays(2));
            assertThat(mTable.record(RateLimitUpdate.nothingKnown("a", 1))).isFalse();
            assertThat(limit(1)).hasValue(0.5);
        }

        @Test
        void shouldBeReplacedByAnyResponse() {
            mTable.record(RateLimitUpdate.nothingKnown("a", 1));
            record(Optional.of(0.5), 60_000, 1);
            assertThat(limit(1)).hasValue(0.5);
        }

        @Test
        void shouldEndTheLimitOfAnEarlierRun() {
            record(Optional.of(0.5), 0, 1);
            mTable.record(RateLimitUpdate.nothingKnown("a", 2));
            assertThat(limit(2)).isEmpty();
        }
    }

    /** A response that arrived late brought back what had changed since its request. */
    @Nested
    final class LateResponses {
        @Test
        void shouldNotBringAnEarlierLimitBack() {
            record(Optional.of(0.5), 100, 1);
            record(Optional.of(10.0), 300, 1);
            assertThat(limit(1)).hasValue(0.5);
        }

        @Test
        void shouldNotBringAnEndedLimitBack() {
            record(Optional.of(5.0), 500, 1);
            record(Optional.empty(), 100, 1);
            record(Optional.of(5.0), 300, 1);
            assertThat(limit(1)).isEmpty();
        }

        @Test
        void shouldNotBringBackALimitThatWasNeverKnown() {
            record(Optional.empty(), 100, 1);
            record(Optional.of(5.0), 300, 1);
            assertThat(limit(1)).isEmpty();
        }

        @Test
        void shouldReplaceWhatWasKnownIfTheirRequestWasWrittenLater() {
            record(Optional.of(0.5), 300, 1);
            mTime.advance(Duration.ofMillis(500));
            record(Optional.of(10.0), 300, 1);
            assertThat(limit(1)).hasValue(10.0);
        }

        @Test
        void shouldCountByTheWallClockIfTheOtherOneStoodStill() {
            ManualTimeSource wall = new ManualTimeSource();
            RateLimitTable table =
                    new RateLimitTable(
                            new TimeSource() {
                                @Override
                                public long nanoTime() {
                                    return mTime.nanoTime();
                                }

                                @Override
                                public long wallMillis() {
                                    return wall.wallMillis();
                                }

                                @Override
                                public void sleep(Duration duration) {
                                    throw new UnsupportedOperationException();
                                }
                            },
                            event -> {});
            table.record(update(Optional.of(10.0), 100, 1));
            wall.advance(Duration.ofSeconds(5));
            table.record(update(Optional.of(0.5), 3_000, 1));
            assertThat(table.known("a").orElseThrow().limit()).hasValue(new RateLimit(0.5));
        }
    }

    /** The same response was told around and counted as a new one each time. */
    @Nested
    final class RepeatedReports {
        @Test
        void shouldNotMakeAResponseNewer() {
            RateLimitUpdate told = update(Optional.of(10.0), 100, 1);
            mTable.record(told);
            mTime.advance(Duration.ofSeconds(3));
            mTable.record(told);
            assertThat(mTable.known("a").orElseThrow().age()).isEqualTo(Duration.ofMillis(3_100));
            assertThat(record(Optional.of(0.5), 1_000, 1)).isTrue();
        }

        @Test
        void shouldBeReportedOnce() {
            record(Optional.of(10.0), 100, 1);
            mTime.advance(Duration.ofSeconds(1));
            record(Optional.of(10.0), 100, 1);
            record(Optional.empty(), 50, 1);
            assertThat(mEvents)
                    .containsExactly(RateLimitEvent.Kind.NAMED, RateLimitEvent.Kind.ENDED)
                    .inOrder();
        }
    }

    /** The next run under an id inherited the limit of the one before. */
    @Nested
    final class LaterRuns {
        @Test
        void shouldStartWithoutALimit() {
            record(Optional.of(1.0), 100, 1);
            mTable.recordRegistered(backEnd(2));
            assertThat(limit(2)).isEmpty();
            record(Optional.of(1.0), 50, 1);
            assertThat(limit(2)).isEmpty();
        }

        @Test
        void shouldNotLoseTheirLimitToALateResponseOfAnEarlierRun() {
            record(Optional.of(1.0), 100, 2);
            record(Optional.empty(), 10, 1);
            assertThat(limit(2)).hasValue(1.0);
        }
    }

    /** Numbers that no one expected. */
    @Nested
    final class Values {
        @Test
        void shouldBeEnforcedUnlessNoFleetReachesThem() {
            for (double limit : new double[] {0, 0.2, 9_999}) {
                mTime.advance(Duration.ofSeconds(1));
                record(Optional.of(limit), 0, 1);
                assertThat(limit(1)).hasValue(limit);
            }
            for (double limit : new double[] {10_000, 1e9, Double.MAX_VALUE}) {
                mTime.advance(Duration.ofSeconds(1));
                record(Optional.of(limit), 0, 1);
                assertThat(limit(1)).isEmpty();
            }
        }

        @Test
        void shouldEndALimitIfTheyAreNone() {
            record(Optional.of(1.0), 100, 1);
            record(Optional.of(-1.0), 0, 1);
            assertThat(limit(1)).isEmpty();
        }
    }
}
