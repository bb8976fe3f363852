package org.rattanport.decisions.retry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanport.kernel.error.ErrorCode;
import org.rattanport.kernel.error.RattanportException;
import org.rattanport.kernel.error.Verdict;

final class RetryTest {
    @Nested
    final class Deciding {
        @ParameterizedTest
        @CsvSource({
            "TARGET_FAILED, NOT_RUN, false, 1, true",
            "TARGET_FAILED, MAY_HAVE_RUN, false, 1, false",
            "TARGET_FAILED, MAY_HAVE_RUN, true, 1, true",
            "TARGET_REFUSED, NOT_RUN, false, 1, true",
            "ANSWER_CUT, MAY_HAVE_RUN, true, 1, true",
            "TARGET_FAILED, NOT_RUN, true, 4, false",
            "DEADLINE_EXCEEDED, NOT_RUN, true, 1, false",
            "CANCELLED, MAY_HAVE_RUN, true, 1, false"
        })
        void shouldRetryOnlyWorkThatDidNotRunOrIsIdempotent(
                ErrorCode code,
                Verdict verdict,
                boolean isIdempotent,
                int attempts,
                boolean isRetried) {
            RattanportException error =
                    RattanportException.builder(code, "scripted").verdict(verdict).build();
            assertThat(
                            new BudgetedRetryPolicy(new RetryBudget())
                                    .shouldRetry(error, isIdempotent, attempts, "pool"))
                    .isEqualTo(isRetried);
        }
    }

    @Nested
    final class Budget {
        @Test
        void shouldLimitRetriesToAShareOfFirstAttempts() {
            RetryBudget budget = new RetryBudget();
            int retries = 0;
            for (int i = 0; i < 1_000; i++) {
                budget.recordFirstAttempt("pool");
                retries += budget.tryWithdraw("pool") ? 1 : 0;
            }
            assertThat(retries).isAtMost(221);
            assertThat(retries).isAtLeast(200);
        }

        @Test
        void shouldTrackEachPoolSeparately() {
            RetryBudget budget = new RetryBudget();
            for (int i = 0; i < 100; i++) {
                budget.tryWithdraw("broken");
            }
            assertThat(budget.tryWithdraw("broken")).isFalse();
            assertThat(budget.tryWithdraw("well")).isTrue();
        }
    }
}
