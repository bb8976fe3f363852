package org.rattanport.decisions.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.OptionalInt;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.rattanport.kernel.time.ManualTimeSource;

final class ServiceRetryBudgetTest {
    private static final Duration WINDOW = Duration.ofSeconds(10);

    private final ManualTimeSource mTime = new ManualTimeSource();

    private ServiceRetryBudget budget(int slack, int instances) {
        return budget(slack, OptionalInt.of(instances));
    }

    private ServiceRetryBudget budget(int slack, OptionalInt instances) {
        return new ServiceRetryBudget(mTime, WINDOW, 0.2, slack, () -> instances);
    }

    private static int exhaust(ServiceRetryBudget budget) {
        int acquired = 0;
        while (acquired < 10_000 && budget.tryAcquire("service")) {
            acquired++;
        }
        return acquired;
    }

    @Nested
    final class Bound {
        @Test
        void shouldStayWithinSharedSlackAcrossInstances() {
            int total = 0;
            for (int instance = 0; instance < 18; instance++) {
                total += exhaust(budget(234, 18));
            }
            assertThat(total).isAtMost(234);
            assertThat(total).isAtLeast(100);
        }

        /** Each of several instances that looked for the others used the whole slack. */
        @Test
        void shouldLeaveNoSlackWhileTheNumberOfInstancesIsUnknown() {
            ServiceRetryBudget budget = budget(234, OptionalInt.empty());
            assertThat(exhaust(budget)).isEqualTo(0);
            for (int i = 0; i < 100; i++) {
                budget.recordFirstAttempt("service");
            }
            assertThat(exhaust(budget)).isAtLeast(10);
        }

        @Test
        void shouldGrowWithFirstAttempts() {
            ServiceRetryBudget budget = budget(0, 1);
            assertThat(budget.tryAcquire("service")).isFalse();
            for (int i = 0; i < 100; i++) {
                budget.recordFirstAttempt("service");
            }
            assertThat(exhaust(budget)).isAtMost(20);
            assertThat(budget.tryAcquire("another")).isFalse();
        }

        @Test
        void shouldRefillAfterWindow() {
            ServiceRetryBudget budget = budget(50, 1);
            int first = exhaust(budget);
            assertThat(exhaust(budget)).isEqualTo(0);
            mTime.advance(WINDOW.plusMillis(1));
            assertThat(exhaust(budget)).isEqualTo(first);
        }
    }
}
