package org.rattanport.decisions.gateway.relay;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.decisions.gateway.TestFleet;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.gateway.Route;
import org.rattanport.kernel.gateway.RouteKind;
import org.rattanport.kernel.time.Deadline;
import org.rattanport.kernel.time.ManualTimeSource;

/** Timeouts of a silent back end. */
final class SilenceTimeoutTest {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final Route mRoute = TestFleet.route("host", "/stream/", RouteKind.STREAMING);
    private final Deadline mDeadline = Deadline.after(mTime, SECOND.multipliedBy(10));
    private long mNextEventMillis = Long.MAX_VALUE;
    private long mPrefillEndMillis;
    private boolean mMayTakeOver = true;

    private String awaitEvent(Deadline deadline) {
        Duration remaining = deadline.remaining(mTime);
        long wait = mNextEventMillis - elapsedMillis();
        if (wait <= remaining.toMillis()) {
            mTime.advance(Duration.ofMillis(Math.max(0, wait)));
            return "event";
        }
        mTime.advance(remaining);
        throw new RattanportException(ErrorCode.DEADLINE_EXCEEDED, "silent");
    }

    private long elapsedMillis() {
        return 10_000 - mDeadline.remaining(mTime).toMillis();
    }

    private Duration remainingPrefill() {
        return Duration.ofMillis(Math.max(0, mPrefillEndMillis - elapsedMillis()));
    }

    private final class ScriptedTakeOver implements TakeOver {
        @Override
        public boolean isPossible() {
            return mMayTakeOver;
        }

        @Override
        public boolean tryReserve() {
            return mMayTakeOver;
        }
    }

    private String await(SilenceTimeout timeout) {
        return timeout.await(
                mTime, mDeadline, new ScriptedTakeOver(), this::remainingPrefill, this::awaitEvent);
    }

    private long millisUntilTimeout(SilenceTimeout timeout) {
        assertThrows(RattanportException.class, () -> await(timeout));
        return elapsedMillis();
    }

    @Nested
    final class BetweenEvents {
        @Test
        void shouldTimeOutEarlyWithoutPendingPrefill() {
            assertThat(millisUntilTimeout(SilenceTimeout.betweenEvents(mRoute))).isEqualTo(1_200);
        }

        @Test
        void shouldWaitUntilAnotherBackEndMayTakeOver() {
            mMayTakeOver = false;
            mNextEventMillis = 9_000;
            assertThat(await(SilenceTimeout.betweenEvents(mRoute))).isEqualTo("event");
        }

        @Test
        void shouldWaitWhilePrefillIsPending() {
            mPrefillEndMillis = 1_400;
            mNextEventMillis = 1_500;
            assertThat(await(SilenceTimeout.betweenEvents(mRoute))).isEqualTo("event");
        }

        @Test
        void shouldTimeOutBeforeCallerDisconnects() {
            mPrefillEndMillis = 9_000;
            assertThat(millisUntilTimeout(SilenceTimeout.betweenEvents(mRoute))).isEqualTo(1_750);
        }
    }

    @Nested
    final class BeforeFirstEvent {
        @Test
        void shouldApplyMinimumToShortPrediction() {
            assertThat(millisUntilTimeout(SilenceTimeout.beforeFirstEvent(mRoute, 100)))
                    .isEqualTo(1_000);
        }

        @Test
        void shouldScaleWithLongPrediction() {
            assertThat(millisUntilTimeout(SilenceTimeout.beforeFirstEvent(mRoute, 1_000)))
                    .isEqualTo(3_500);
        }

        @Test
        void shouldBeginAgainAfterTheHead() {
            SilenceTimeout timeout = SilenceTimeout.beforeFirstEvent(mRoute, 100);
            assertThat(millisUntilTimeout(timeout.afterHead(Duration.ofMillis(200))))
                    .isEqualTo(1_000);
        }

        @Test
        void shouldLeaveTimeForAnotherEngineAfterALateHead() {
            SilenceTimeout timeout = SilenceTimeout.beforeFirstEvent(mRoute, 100);
            assertThat(millisUntilTimeout(timeout.afterHead(Duration.ofMillis(950))))
                    .isEqualTo(800);
        }

        /**
         * Nothing was left of the timeout, and the back end was given up although none took over.
         */
        @Test
        void shouldWaitAfterAHeadThatWasAwaitedForLongerThanTheTimeout() {
            mMayTakeOver = false;
            mNextEventMillis = 9_000;
            SilenceTimeout timeout = SilenceTimeout.beforeFirstEvent(mRoute, 100);
            assertThat(await(timeout.afterHead(Duration.ofSeconds(4)))).isEqualTo("event");
        }
    }

    @Nested
    final class RouteTimeout {
        @Test
        void shouldEqualTimeoutOfRoute() {
            assertThat(millisUntilTimeout(SilenceTimeout.routeTimeout(mRoute)))
                    .isEqualTo(mRoute.timeout().toMillis());
        }
    }
}
