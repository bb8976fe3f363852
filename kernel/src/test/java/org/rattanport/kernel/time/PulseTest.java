package org.rattanport.kernel.time;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class PulseTest {
    private static final Duration MAX_PAUSE = Duration.ofSeconds(4);

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final Pulse mPulse = new Pulse(mTime);

    private void runFor(int beats) {
        for (int i = 0; i < beats; i++) {
            mTime.advance(Pulse.INTERVAL);
            mPulse.beat();
        }
    }

    @Nested
    final class SignalOfARunningProcess {
        @Test
        void shouldCountFromItsReceipt() {
            runFor(10);
            assertThat(mPulse.sincePause(MAX_PAUSE)).isEqualTo(Duration.ZERO);
        }

        @Test
        void shouldNotCountAnEarlierPause() {
            mTime.advance(Duration.ofSeconds(2));
            runFor(10);
            assertThat(mPulse.sincePause(MAX_PAUSE)).isEqualTo(Duration.ZERO);
        }
    }

    @Nested
    final class SignalDuringAPause {
        /** A stop that was heard late was counted from then, and outlived the process. */
        @Test
        void shouldCountFromTheStartOfThePause() {
            runFor(10);
            mTime.advance(Duration.ofMillis(900));
            assertThat(mPulse.sincePause(MAX_PAUSE)).isEqualTo(Duration.ofMillis(900));
        }

        @Test
        void shouldCountFromTheStartOfThePauseAlsoAfterABeat() {
            runFor(10);
            mTime.advance(Duration.ofMillis(900));
            mPulse.beat();
            runFor(1);
            assertThat(mPulse.sincePause(MAX_PAUSE)).isEqualTo(Duration.ofMillis(1_000));
        }

        /** A stop right after a long pause had no time left, and cut its requests at once. */
        @Test
        void shouldLeaveTimeAfterALongPause() {
            runFor(10);
            mTime.advance(Duration.ofSeconds(6));
            assertThat(mPulse.sincePause(MAX_PAUSE)).isEqualTo(MAX_PAUSE);
        }
    }
}
