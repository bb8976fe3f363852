package org.rattanport.kernel.error;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class VerdictTest {
    @Nested
    final class Combination {
        @ParameterizedTest
        @CsvSource({
            "NOT_RUN, NOT_RUN, NOT_RUN",
            "NOT_RUN, MAY_HAVE_RUN, MAY_HAVE_RUN",
            "MAY_HAVE_RUN, NOT_RUN, MAY_HAVE_RUN",
            "RAN, NOT_RUN, RAN",
            "MAY_HAVE_RUN, RAN, RAN"
        })
        void shouldReturnTheLessSafeVerdict(Verdict first, Verdict second, Verdict combined) {
            assertThat(first.combinedWith(second)).isEqualTo(combined);
        }
    }
}
