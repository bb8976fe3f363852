package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.Route;
import org.rattanport.kernel.gateway.RouteKind;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.ManualTimeSource;

/** How long a silent back end is waited for. */
final class PatienceTest {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final Route mRoute = TestFleet.route("host", "/stream/", RouteKind.STREAMING);
    private final Deadline mDeadline = Deadline.after(mTime, SECOND.multipliedBy(10));
    private long mSpeaksAfterMillis = Long.MAX_VALUE;
    private long mReadsUntilMillis;

    private String read(Deadline deadline) {
        Duration left = deadline.remaining(mTime);
        long wait = mSpeaksAfterMillis - elapsedMillis();
        if (wait <= left.toMillis()) {
            mTime.advance(Duration.ofMillis(Math.max(0, wait)));
            return "event";
        }
        mTime.advance(left);
        throw new RattanportException(ErrorCode.DEADLINE_EXCEEDED, "silent");
    }

    private long elapsedMillis() {
        return 10_000 - mDeadline.remaining(mTime).toMillis();
    }

    private Duration reading() {
        return Duration.ofMillis(Math.max(0, mReadsUntilMillis - elapsedMillis()));
    }

    private String await(Patience patience) {
        return patience.await(mTime, mDeadline, this::reading, this::read);
    }

    private long millisUntilGivenUp(Patience patience) {
        assertThrows(RattanportException.class, () -> await(patience));
        return elapsedMillis();
    }

    @Nested
    final class BetweenEvents {
        @Test
        void shouldEndSoonWithoutAnExplanation() {
            assertThat(millisUntilGivenUp(Patience.between(mRoute))).isEqualTo(1_200);
        }

        @Test
        void shouldLastWhileTheEngineIsKnownToRead() {
            mReadsUntilMillis = 1_400;
            mSpeaksAfterMillis = 1_500;
            assertThat(await(Patience.between(mRoute))).isEqualTo("event");
        }

        @Test
        void shouldEndBeforeTheCallerLeaves() {
            mReadsUntilMillis = 9_000;
            assertThat(millisUntilGivenUp(Patience.between(mRoute))).isEqualTo(1_750);
        }
    }

    @Nested
    final class UntilTheFirstEvent {
        @Test
        void shouldFollowThePrediction() {
            assertThat(millisUntilGivenUp(Patience.untilFirst(mRoute, 100))).isEqualTo(1_000);
        }

        @Test
        void shouldFollowALongPrediction() {
            assertThat(millisUntilGivenUp(Patience.untilFirst(mRoute, 1_000))).isEqualTo(3_500);
        }
    }

    @Nested
    final class Unlimited {
        @Test
        void shouldLastAsLongAsTheRouteAllows() {
            assertThat(millisUntilGivenUp(Patience.unlimited(mRoute)))
                    .isEqualTo(mRoute.timeout().toMillis());
        }
    }
}
