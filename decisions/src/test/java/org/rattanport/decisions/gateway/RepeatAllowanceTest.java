package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.kernel.time.ManualTimeSource;

final class RepeatAllowanceTest {
    private static final Duration WINDOW = Duration.ofSeconds(10);

    private final ManualTimeSource mTime = new ManualTimeSource();

    private RepeatAllowance allowance(int slack, int instances) {
        return new RepeatAllowance(mTime, WINDOW, 0.2, slack, () -> instances);
    }

    private static int takeAll(RepeatAllowance allowance) {
        int taken = 0;
        while (taken < 10_000 && allowance.take("service")) {
            taken++;
        }
        return taken;
    }

    @Nested
    final class Bound {
        @Test
        void shouldStayWithinTheSharedSlackWhenEveryInstanceUsesItsPart() {
            int all = 0;
            for (int instance = 0; instance < 18; instance++) {
                all += takeAll(allowance(234, 18));
            }
            assertThat(all).isAtMost(234);
            assertThat(all).isAtLeast(100);
        }

        @Test
        void shouldGrowWithTheFirstSendings() {
            RepeatAllowance allowance = allowance(0, 1);
            assertThat(allowance.take("service")).isFalse();
            for (int i = 0; i < 100; i++) {
                allowance.first("service");
            }
            assertThat(takeAll(allowance)).isAtMost(20);
            assertThat(allowance.take("another")).isFalse();
        }

        @Test
        void shouldBeThereAgainAfterTheWindow() {
            RepeatAllowance allowance = allowance(50, 1);
            int first = takeAll(allowance);
            assertThat(takeAll(allowance)).isEqualTo(0);
            mTime.advance(WINDOW.plusMillis(1));
            assertThat(takeAll(allowance)).isEqualTo(first);
        }
    }
}
